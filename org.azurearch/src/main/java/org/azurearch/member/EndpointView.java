package org.azurearch.member;

import java.util.List;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.ServiceId;

/** The endpoints that this node knows of; reads never block. */
public interface EndpointView {
    /**
     * Returns the endpoints of a service on nodes that take calls, in any state but absent.
     *
     * @return an immutable list; the same instance until something changes
     */
    List<Endpoint> endpoints(FirmId firm, ServiceId service);

    /** Returns every endpoint known, in any state. */
    List<Endpoint> all();

    /** Returns a number that grows with each change of the view. */
    long generation();
}
