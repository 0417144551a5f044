package org.azurearch.internal.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.azurearch.fold.ChangeOutcome;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Member;
import org.azurearch.member.MemberView;
import org.azurearch.spread.ChangeProgress;
import org.azurearch.spread.ChangeProgress.DataCentreProgress;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;
import org.azurearch.thrift.WireProgress;
import org.azurearch.thrift.WireProgressRequest;
import org.azurearch.time.TimeSource;
import org.azurearch.transport.PeerClient;
import org.jspecify.annotations.Nullable;

/** Queries the readers of every data centre for the progress of the nodes there. */
final class ProgressQuery {
    private final PeerClient mClient;
    private final MemberView mMembers;
    private final SpreadRunner mRunner;
    private final SpreadSettings mSettings;
    private final TimeSource mTime;
    private final long mStartedAtMillis;

    ProgressQuery(
            PeerClient client,
            MemberView members,
            SpreadRunner runner,
            SpreadSettings settings,
            TimeSource time) {
        mClient = client;
        mMembers = members;
        mRunner = runner;
        mSettings = settings;
        mTime = time;
        mStartedAtMillis = time.wallMillis();
    }

    /** Returns the status of a decided change. */
    static ChangeProgress.Status status(
            ChangeOutcome outcome, List<DataCentreProgress> dataCentres) {
        if (outcome.status() != ChangeOutcome.Status.ACCEPTED) {
            return ChangeProgress.Status.REFUSED;
        }
        boolean everywhere =
                dataCentres.stream()
                        .allMatch(
                                each ->
                                        each.silentSinceMillis() == 0
                                                && each.inForce() == each.total());
        return everywhere ? ChangeProgress.Status.IN_FORCE : ChangeProgress.Status.ACCEPTED;
    }

    /** Queries every data centre for the number of nodes that have reached an offset. */
    CompletableFuture<List<DataCentreProgress>> query(long offset) {
        Topology topology = Topology.of(mMembers, mSettings.readers());
        List<CompletableFuture<DataCentreProgress>> answers = new ArrayList<>();
        topology.readers()
                .forEach((dataCentre, readers) -> answers.add(query(dataCentre, readers, offset)));
        return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenApply(done -> answers.stream().map(CompletableFuture::join).toList());
    }

    private CompletableFuture<DataCentreProgress> query(
            DataCentreId dataCentre, List<NodeId> readers, long offset) {
        List<CompletableFuture<@Nullable DataCentreProgress>> answers = new ArrayList<>();
        for (NodeId reader : readers) {
            answers.add(queryReader(dataCentre, reader, offset));
        }
        return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenApply(done -> merged(dataCentre, answers));
    }

    private CompletableFuture<@Nullable DataCentreProgress> queryReader(
            DataCentreId dataCentre, NodeId reader, long offset) {
        if (reader.equals(mMembers.self().node())) {
            return CompletableFuture.completedFuture(localProgress(dataCentre, offset));
        }
        Member member = mMembers.member(reader).orElse(null);
        if (member == null) {
            return CompletableFuture.completedFuture(null);
        }
        return mClient.send(
                        member.peer(),
                        PeerRequest.progress(new WireProgressRequest(offset)),
                        mSettings.peerTimeout())
                .handle((reply, failure) -> fromReply(dataCentre, reply));
    }

    private DataCentreProgress localProgress(DataCentreId dataCentre, long offset) {
        ProgressTable.Count count =
                mRunner.progress()
                        .count(mMembers, dataCentre, offset, mRunner.view().position().offset());
        List<NodeId> laggards = count.laggards().stream().map(ProgressTable.Laggard::node).toList();
        return new DataCentreProgress(dataCentre, count.total(), count.inForce(), laggards, 0);
    }

    private static @Nullable DataCentreProgress fromReply(
            DataCentreId dataCentre, @Nullable PeerReply reply) {
        if (reply == null || !reply.isSetProgress()) {
            return null;
        }
        WireProgress wire = reply.getProgress();
        List<NodeId> laggards =
                wire.isSetLaggards()
                        ? wire.getLaggards().stream()
                                .map(each -> NodeId.fromString(each.getNode()))
                                .toList()
                        : List.of();
        return new DataCentreProgress(dataCentre, wire.getTotal(), wire.getInForce(), laggards, 0);
    }

    private DataCentreProgress merged(
            DataCentreId dataCentre,
            List<CompletableFuture<@Nullable DataCentreProgress>> answers) {
        DataCentreProgress merged = null;
        for (CompletableFuture<@Nullable DataCentreProgress> answer : answers) {
            DataCentreProgress next = answer.join();
            if (next != null) {
                merged = merged == null ? next : merge(merged, next);
            }
        }
        return merged != null ? merged : silentDataCentre(dataCentre);
    }

    /**
     * Combines the replies of two readers. A node counts as a laggard only if both list it; if
     * either list is incomplete, the reply with fewer laggards is used.
     */
    private static DataCentreProgress merge(DataCentreProgress one, DataCentreProgress other) {
        DataCentreProgress moreAdvanced =
                one.total() - one.inForce() <= other.total() - other.inForce() ? one : other;
        boolean complete =
                listsAllLaggards(one) && listsAllLaggards(other) && one.total() == other.total();
        if (!complete) {
            return moreAdvanced;
        }
        List<NodeId> both = one.laggards().stream().filter(other.laggards()::contains).toList();
        return new DataCentreProgress(
                one.dataCentre(), one.total(), one.total() - both.size(), both, 0);
    }

    private static boolean listsAllLaggards(DataCentreProgress progress) {
        return progress.total() - progress.inForce() == progress.laggards().size();
    }

    private DataCentreProgress silentDataCentre(DataCentreId dataCentre) {
        List<NodeId> nodes =
                mMembers.all().stream()
                        .filter(member -> member.dataCentre().equals(dataCentre))
                        .map(Member::node)
                        .toList();
        long lastReport = mRunner.progress().lastReportMillis(dataCentre);
        long since = lastReport > 0 ? lastReport : Math.min(mStartedAtMillis, mTime.wallMillis());
        return new DataCentreProgress(
                dataCentre,
                nodes.size(),
                0,
                nodes.subList(0, Math.min(nodes.size(), ProgressTable.MAX_LAGGARDS)),
                since);
    }
}
