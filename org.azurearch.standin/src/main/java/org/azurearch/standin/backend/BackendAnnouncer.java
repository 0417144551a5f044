package org.azurearch.standin.backend;

import java.time.Duration;
import org.azurearch.errors.AzurearchException;
import org.azurearch.events.EventLog;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.ServiceId;
import org.azurearch.member.Announcement;
import org.azurearch.member.BackendState;
import org.azurearch.standin.StandinEvent;

/** Sends announcements. A failure is logged; the next renewal retries. */
final class BackendAnnouncer {
    /** Sends no announcements. */
    static final BackendAnnouncer NONE =
            new BackendAnnouncer(
                    new AnnouncementTarget() {
                        @Override
                        public void announce(Announcement announcement) {
                            // no node to notify
                        }

                        @Override
                        public void withdraw() {
                            // no node to notify
                        }
                    },
                    FirmId.fromString("none"),
                    ServiceId.fromString("none"));

    private static final Duration LEASE = Duration.ofSeconds(8);

    private final AnnouncementTarget mTarget;
    private final FirmId mFirm;
    private final ServiceId mService;

    BackendAnnouncer(AnnouncementTarget target, FirmId firm, ServiceId service) {
        mTarget = target;
        mFirm = firm;
        mService = service;
    }

    void announce(NetAddress address, BackendState state, int slots) {
        try {
            mTarget.announce(new Announcement(mFirm, mService, address, state, slots, LEASE));
        } catch (AzurearchException e) {
            EventLog.log(StandinEvent.ANNOUNCEMENT_FAILED, mService, e.toString());
        }
    }

    void withdraw() {
        try {
            mTarget.withdraw();
        } catch (AzurearchException e) {
            EventLog.log(StandinEvent.ANNOUNCEMENT_FAILED, mService, e.toString());
        }
    }
}
