package org.azurearch.standin.backend;

import org.azurearch.member.Announcement;

/** Receives the announcements of a backend server. */
public interface AnnouncementTarget {
    /**
     * Registers the backend server or renews its lease.
     *
     * @throws org.azurearch.errors.AzurearchException if the node did not accept the request
     */
    void announce(Announcement announcement);

    /**
     * Withdraws the announcement.
     *
     * @throws org.azurearch.errors.AzurearchException if the node did not accept the request
     */
    void withdraw();
}
