package org.azurearch.sidecar.internal.mesh;

import java.util.ArrayList;
import java.util.List;
import org.azurearch.sidecar.internal.hop.HopLink;
import org.azurearch.sidecar.internal.quota.QuotaService;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.thrift.HopFrame;

/** The mesh as the quotas see it. Confined to one event loop. */
public final class QuotaMesh implements QuotaService.Mesh {
    private final MeshService mMesh;

    /** Creates the view of a mesh. */
    public QuotaMesh(MeshService mesh) {
        mMesh = mesh;
    }

    @Override
    public List<String> coordinators() {
        NodeDirectory directory = mMesh.directory();
        List<String> nodes = new ArrayList<>();
        for (NodeRecord record : directory.table().records()) {
            if (directory.rank(record, false) < LinkPlan.RELAYS) {
                nodes.add(record.node());
            }
        }
        return nodes;
    }

    @Override
    public boolean reachable(String node) {
        NodeRecord record = mMesh.directory().table().record(node);
        return record != null && mMesh.directory().rank(record, false) != Integer.MAX_VALUE;
    }

    @Override
    public boolean membersKnown() {
        return mMesh.membersKnown();
    }

    @Override
    public int shareHolders() {
        return mMesh.directory().shareHolders().count();
    }

    @Override
    public void send(String node, HopFrame frame) {
        HopLink link = mMesh.directory().link(node);
        if (link != null) {
            link.send(frame);
        }
    }
}
