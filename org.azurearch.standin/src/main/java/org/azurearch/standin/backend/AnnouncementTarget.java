package org.azurearch.standin.backend;

import org.azurearch.member.Announcement;

/** Where a backend server announces itself. */
public interface AnnouncementTarget {
    /**
     * Announces or renews.
     *
     * @throws org.azurearch.errors.AzurearchException when the node did not take it
     */
    void announce(Announcement announcement);

    /**
     * Ends the announcement.
     *
     * @throws org.azurearch.errors.AzurearchException when the node did not take it
     */
    void withdraw();
}
