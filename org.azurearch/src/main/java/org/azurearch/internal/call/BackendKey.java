package org.azurearch.internal.call;

import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.ServiceId;
import org.azurearch.member.Announcement;

/** Identifies a backend server; another one may use the address of one that has ended. */
record BackendKey(NetAddress address, FirmId firm, ServiceId service) {
    /** Returns the key of an announced backend server. */
    static BackendKey of(Announcement server) {
        return new BackendKey(server.address(), server.firm(), server.service());
    }
}
