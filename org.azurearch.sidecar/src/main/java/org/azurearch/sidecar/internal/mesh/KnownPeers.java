package org.azurearch.sidecar.internal.mesh;

import org.azurearch.sidecar.internal.hop.HopLink;
import org.azurearch.sidecar.internal.suspect.PeerLosses;
import org.azurearch.sidecar.member.NodeRecord;
import org.jspecify.annotations.Nullable;

/** What the directory knows of the peers. Confined to one event loop. */
final class KnownPeers implements PeerLosses.Peers {
    private final NodeDirectory mDirectory;

    KnownPeers(NodeDirectory directory) {
        mDirectory = directory;
    }

    @Override
    public @Nullable NodeRecord record(String node) {
        return mDirectory.table().record(node);
    }

    @Override
    public boolean up(String node) {
        HopLink link = mDirectory.link(node);
        return link != null && link.up();
    }

    @Override
    public boolean refuses(String node) {
        HopLink link = mDirectory.link(node);
        return link != null && link.refused();
    }
}
