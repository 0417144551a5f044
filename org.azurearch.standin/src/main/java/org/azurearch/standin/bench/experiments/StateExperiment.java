package org.azurearch.standin.bench.experiments;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.azurearch.fold.StateCodec;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.ProgressMonitor;
import org.azurearch.lib.SiteId;
import org.azurearch.member.EndpointView;
import org.azurearch.standin.bench.Experiment;
import org.azurearch.standin.bench.ExperimentOptions;
import org.azurearch.standin.bench.ExperimentResults;
import org.azurearch.standin.bench.mesh.BenchMesh;
import org.azurearch.standin.bench.mesh.MeshNode;
import org.azurearch.standin.bench.mesh.MeshPlan;
import org.azurearch.standin.bench.mesh.SampleDocuments;

/**
 * Measures one node that retains as many versions and members as at the target size. One stand-in
 * answers the probes for all other members, so that the node does its full membership work. All
 * members are new to the node, which gossips their records during the measurement: traffic and
 * processor time are those of a mesh whose nodes have all just restarted, not of a quiet one.
 */
public final class StateExperiment implements Experiment {
    private static final int DEFAULT_MEMBERS = 3_300;
    private static final int DEFAULT_DATA_CENTRES = 11;
    private static final int DEFAULT_SERVICES = 380;
    private static final int DEFAULT_VERSIONS = 50;
    private static final int SLOTS = 20;
    private static final double BYTES_PER_MEBIBYTE = 1_048_576.0;
    private static final double KIBIBYTES_PER_MEBIBYTE = 1_024.0;
    private static final double PERCENT = 100.0;
    private static final Duration MEMBERS_TIMEOUT = Duration.ofSeconds(60);
    private static final String POLICY = "convergence";

    @Override
    public String name() {
        return "state";
    }

    @Override
    public String summary() {
        return "memory, processor time and control bytes of one node at the size to design for";
    }

    @Override
    public void run(ExperimentOptions options, ExperimentResults results, ProgressMonitor monitor) {
        int members = options.integer("members", DEFAULT_MEMBERS);
        int dataCentres = options.integer("dataCentres", DEFAULT_DATA_CENTRES);
        int services = options.integer("services", DEFAULT_SERVICES);
        int versions = options.integer("versions", DEFAULT_VERSIONS);
        Duration steady = options.duration("steady", Duration.ofSeconds(20));
        monitor.begin("state", 3);
        try (MemberStandin otherMembers = new MemberStandin(members - 1, dataCentres, services);
                BenchMesh mesh = new BenchMesh(MeshPlan.of(1, 1, POLICY))) {
            MeshNode node = mesh.nodes().get(0);
            double initialHeap = heapMebibytes();
            publish(mesh, dataCentres, services, versions);
            double heapWithVersions = heapMebibytes();
            results.addFigure(
                    "state.heap.versions", heapWithVersions - initialHeap, "MiB, log included");
            results.addFigure(
                    "state.snapshot.bytes", StateCodec.encode(node.changes().state()).length, "B");
            monitor.update(1);
            otherMembers.sendMembersTo(node.peerAddress());
            EndpointView view = node.kernel().service(EndpointView.class);
            BenchMesh.await(
                    "the node has the endpoints of all members",
                    MEMBERS_TIMEOUT,
                    () -> view.all().size() >= members - 1);
            results.addFigure("state.heap.members", heapMebibytes() - heapWithVersions, "MiB");
            monitor.update(1);
            measureMemberGossip(mesh, node, steady, results);
            results.addFigure(
                    "state.members.reachable",
                    node.members().all().stream().filter(member -> member.reachable()).count(),
                    "");
            results.addFigure("state.heap.total", heapMebibytes(), "MiB, stand-ins included");
            results.addFigure("state.rss", rssMebibytes(), "MiB, stand-ins included");
            monitor.update(1);
        }
        monitor.end();
    }

    private static void measureMemberGossip(
            BenchMesh mesh, MeshNode node, Duration steady, ExperimentResults results) {
        long sent = node.counterSum("control.sent.bytes.");
        long received = node.counterSum("control.received.bytes.");
        Map<String, Long> before = node.counterValues("control.");
        MeshCost cost = MeshCost.measure(mesh, steady);
        node.counterValues("control.")
                .forEach(
                        (name, value) ->
                                results.addFigure(
                                        "state.news." + name,
                                        (value - before.getOrDefault(name, 0L)) / cost.seconds(),
                                        "B/s"));
        results.addFigure(
                "state.news.sent",
                (node.counterSum("control.sent.bytes.") - sent) / cost.seconds(),
                "B/s");
        results.addFigure(
                "state.news.received",
                (node.counterSum("control.received.bytes.") - received) / cost.seconds(),
                "B/s");
        results.addFigure(
                "state.news.processor",
                cost.processorSeconds() / cost.seconds() * PERCENT,
                "% of a core, stand-ins included");
    }

    private static void publish(BenchMesh mesh, int dataCentres, int services, int versions) {
        List<SiteId> sites = new ArrayList<>();
        for (int number = 0; number < dataCentres; number++) {
            sites.add(SiteId.fromString("dc" + number));
        }
        Publisher publisher =
                new Publisher(
                        mesh,
                        new SampleDocuments(FirmId.fromString("bench"), services, SLOTS, sites));
        publisher.publishFirst();
        publisher.publishChanges(versions - 1, 1, Duration.ZERO);
    }

    private static double heapMebibytes() {
        Runtime runtime = Runtime.getRuntime();
        System.gc();
        return (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MEBIBYTE;
    }

    /** Returns the resident memory of this process; 0 if the system does not report it. */
    private static double rssMebibytes() {
        Path status = Path.of("/proc/self/status");
        if (!Files.exists(status)) {
            return 0;
        }
        try {
            for (String line : Files.readAllLines(status)) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) / KIBIBYTES_PER_MEBIBYTE;
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return 0;
    }
}
