package org.azurearch.member;

import java.util.List;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.ServiceId;

/** The endpoints known to this node; reads never block. */
public interface EndpointView {
    /**
     * Returns the endpoints of a service on nodes that accept calls, except those that are absent.
     *
     * @return an immutable list; the same instance until the endpoints change
     */
    List<Endpoint> endpoints(FirmId firm, ServiceId service);

    /** Returns all known endpoints, in any state. */
    List<Endpoint> all();

    /** Returns a number that increases with each change of the view. */
    long generation();
}
