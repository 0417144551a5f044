package org.azurearch.sidecar.internal.mesh;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.azurearch.sidecar.internal.hop.HopLink;
import org.azurearch.sidecar.internal.quota.CoordinatorChoice;
import org.azurearch.sidecar.internal.quota.CoordinatorChoice.Candidate;
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
    public List<Candidate> coordinators() {
        NodeDirectory directory = mMesh.directory();
        long wallMillis = System.currentTimeMillis();
        Set<String> dataCentres = new TreeSet<>();
        directory.table().records().forEach(record -> dataCentres.add(record.dataCentre()));
        List<Candidate> candidates = new ArrayList<>();
        for (String dataCentre : dataCentres) {
            Map<String, Long> starts = new LinkedHashMap<>();
            for (String node : directory.order().nodes(dataCentre, false)) {
                NodeRecord record = directory.table().record(node);
                if (record != null) {
                    starts.put(node, record.incarnation());
                }
            }
            candidates.addAll(CoordinatorChoice.candidates(starts, LinkPlan.RELAYS, wallMillis));
        }
        return candidates;
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
