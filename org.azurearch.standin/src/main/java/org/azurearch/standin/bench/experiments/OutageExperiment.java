package org.azurearch.standin.bench.experiments;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.ProgressMonitor;
import org.azurearch.lib.SiteId;
import org.azurearch.standin.bench.Experiment;
import org.azurearch.standin.bench.ExperimentOptions;
import org.azurearch.standin.bench.ExperimentResults;
import org.azurearch.standin.bench.mesh.BenchMesh;
import org.azurearch.standin.bench.mesh.MeshNode;
import org.azurearch.standin.bench.mesh.MeshPlan;
import org.azurearch.standin.bench.mesh.SampleDocuments;
import org.azurearch.standin.log.LogFault;
import org.azurearch.standin.log.LogServerOptions;
import org.azurearch.standin.proxy.FaultProxy;
import org.azurearch.standin.proxy.ProxyFault;

/**
 * Cuts off one data centre from the platform's log, then takes the log down for all nodes. Measures
 * how long a change takes to be in force on every node: while the cut-off data centre gets it from
 * the others, and after the log is back.
 */
public final class OutageExperiment implements Experiment {
    private static final int DEFAULT_NODES = 33;
    private static final int DEFAULT_DATA_CENTRES = 3;
    private static final int DEFAULT_SERVICES = 380;
    private static final int SLOTS = 20;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(90);

    @Override
    public String name() {
        return "partition";
    }

    @Override
    public String summary() {
        return "time until a change is in force with a data centre cut off from the log, and"
                + " after an outage of the log";
    }

    @Override
    public void run(ExperimentOptions options, ExperimentResults results, ProgressMonitor monitor) {
        int nodes = options.integer("nodes", DEFAULT_NODES);
        int dataCentres = options.integer("dataCentres", DEFAULT_DATA_CENTRES);
        int services = options.integer("services", DEFAULT_SERVICES);
        Duration outage = options.duration("outage", Duration.ofSeconds(10));
        monitor.begin("partition", 3);
        MeshPlan plan =
                new MeshPlan(
                        nodes,
                        dataCentres,
                        1,
                        options.string("policy", "convergence"),
                        LogServerOptions.DEFAULT,
                        Map.of());
        try (BenchMesh mesh = new BenchMesh(plan, OutageExperiment::proxyForLastDataCentre)) {
            TimedPublisher publisher = new TimedPublisher(mesh, documents(dataCentres, services));
            mesh.awaitJoined();
            results.addFigure("partition.whole.in-force", publisher.publishSeconds(), "s");
            monitor.update(1);
            FaultProxy proxy = mesh.logProxy();
            proxy.setFault(ProxyFault.HALF_OPEN);
            results.addFigure("partition.cut-from-log.in-force", publisher.publishSeconds(), "s");
            results.addFigure(
                    "partition.cut-from-log.in-force-again", publisher.publishSeconds(), "s");
            monitor.update(1);
            proxy.setFault(ProxyFault.NONE);
            proxy.closeConnections();
            measureLogOutage(mesh, publisher, outage, results);
            monitor.update(1);
        }
        monitor.end();
    }

    private static void measureLogOutage(
            BenchMesh mesh, TimedPublisher publisher, Duration outage, ExperimentResults results) {
        mesh.log().setFault(LogFault.DOWN);
        MeshCost cost = MeshCost.measure(mesh, outage);
        cost.addTo(results, "partition.log-down.");
        long ready = mesh.nodes().stream().filter(node -> node.offsetInForce() >= 0).count();
        results.addFigure("partition.log-down.nodes-serving", ready, "");
        mesh.log().setFault(LogFault.NONE);
        results.addFigure("partition.log-healed.in-force", publisher.publishSeconds(), "s");
    }

    private static SampleDocuments documents(int dataCentres, int services) {
        List<SiteId> sites = new ArrayList<>();
        for (int number = 0; number < dataCentres; number++) {
            sites.add(SiteId.fromString("dc" + number));
        }
        return new SampleDocuments(FirmId.fromString("bench"), services, SLOTS, sites);
    }

    private static NetAddress proxyForLastDataCentre(
            MeshPlan plan, int node, NetAddress log, FaultProxy proxy) {
        boolean last = node % plan.dataCentres() == plan.dataCentres() - 1;
        return last ? proxy.address() : log;
    }

    /** Publishes changes one at a time through a node that reaches the log. */
    private static final class TimedPublisher {
        private final BenchMesh mMesh;
        private final SampleDocuments mDocuments;
        private int mVariant;

        TimedPublisher(BenchMesh mesh, SampleDocuments documents) {
            mMesh = mesh;
            mDocuments = documents;
            new Publisher(mesh, documents).publishFirst();
        }

        /** Publishes a change and returns the time until it is in force on every node. */
        double publishSeconds() {
            mVariant++;
            MeshNode node = mMesh.nodes().get(0);
            long version = node.changes().state().version(mDocuments.firm()).number();
            long start = System.nanoTime();
            long offset =
                    node.changes()
                            .submit(
                                    mDocuments.nextChange(
                                            mVariant, 1, version, System.currentTimeMillis()))
                            .join();
            mMesh.awaitInForce(offset, IN_FORCE_TIMEOUT);
            return (System.nanoTime() - start) / NANOS_PER_SECOND;
        }
    }
}
