package org.azurearch.standin.backend;

import java.util.List;
import org.azurearch.admin.AdminClient;
import org.azurearch.admin.AnnouncementBody;
import org.azurearch.lib.NetAddress;
import org.azurearch.member.Announcement;

/** Sends announcements to the administration API of the node on the same VM. */
public final class NodeAnnouncementTarget implements AnnouncementTarget {
    private static final String PATH = "/v1/backend/announcement";

    private final AdminClient mClient;

    /**
     * Creates a target.
     *
     * @param nodeAdmin the address of the node's administration API, served without TLS
     */
    public NodeAnnouncementTarget(NetAddress nodeAdmin) {
        mClient = new AdminClient(List.of(nodeAdmin), "", null);
    }

    @Override
    public void announce(Announcement announcement) {
        AnnouncementBody body =
                new AnnouncementBody(
                        announcement.firm().name(),
                        announcement.service().name(),
                        announcement.address().name(),
                        announcement.state().name(),
                        announcement.slots(),
                        announcement.lease().toMillis());
        mClient.put(PATH, body, String.class);
    }

    @Override
    public void withdraw() {
        mClient.delete(PATH, String.class);
    }
}
