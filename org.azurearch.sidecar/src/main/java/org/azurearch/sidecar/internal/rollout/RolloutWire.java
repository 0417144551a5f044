package org.azurearch.sidecar.internal.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.rollout.NodeEvidence;
import org.azurearch.sidecar.rollout.NodeEvidence.Outcomes;
import org.azurearch.sidecar.rollout.NodeEvidence.RouteVersion;
import org.azurearch.sidecar.rollout.NodeEvidence.ServerOutcomes;
import org.azurearch.sidecar.rollout.RolloutOrder;
import org.azurearch.sidecar.rollout.RolloutState;
import org.azurearch.sidecar.rollout.Verdict;
import org.azurearch.thrift.WireRolloutEvidence;
import org.azurearch.thrift.WireRolloutOrder;
import org.azurearch.thrift.WireRolloutState;
import org.azurearch.thrift.WireRouteOutcomes;
import org.azurearch.thrift.WireServerOutcomes;

/** Converts between the types of roll-outs and their Thrift forms. */
final class RolloutWire {
    private RolloutWire() {}

    static WireRolloutOrder toWire(RolloutOrder order) {
        return new WireRolloutOrder(
                order.service(), order.targetVersion(), order.durationMillis(), order.id());
    }

    static RolloutOrder fromWire(WireRolloutOrder wire) {
        return new RolloutOrder(
                wire.getServiceName(),
                wire.getTargetVersion(),
                wire.getDurationMillis(),
                wire.getId());
    }

    static WireRolloutState toWire(RolloutState state) {
        WireRolloutState wire =
                new WireRolloutState(
                        state.service(),
                        state.orderId(),
                        state.targetVersion(),
                        state.baseVersion(),
                        state.verdict().ordinal(),
                        state.step(),
                        state.share(),
                        state.durationMillis(),
                        state.elapsedMillis(),
                        List.copyOf(state.rejected()),
                        state.slowMillis());
        return wire.setRouteShares(state.routeShares());
    }

    /** Returns the states that can be read, and logs the others. */
    static List<RolloutState> readable(List<WireRolloutState> states) {
        List<RolloutState> readable = new ArrayList<>();
        for (WireRolloutState wire : states) {
            try {
                readable.add(fromWire(wire));
            } catch (AzurearchException e) {
                EventLog.log(
                        SidecarEvent.ROLLOUT_STATE_IGNORED, wire.getServiceName(), e.toString());
            }
        }
        return readable;
    }

    /**
     * Returns the state of its Thrift form.
     *
     * @throws AzurearchException with {@link ErrorCode#CORRUPT} if its verdict is unknown
     */
    static RolloutState fromWire(WireRolloutState wire) {
        Verdict[] verdicts = Verdict.values();
        if (wire.getVerdict() < 0 || wire.getVerdict() >= verdicts.length) {
            throw new AzurearchException(
                    ErrorCode.CORRUPT, "unknown verdict: " + wire.getVerdict());
        }
        return new RolloutState(
                wire.getServiceName(),
                wire.getOrderId(),
                wire.getTargetVersion(),
                wire.getBaseVersion(),
                verdicts[wire.getVerdict()],
                wire.getStep(),
                wire.getShare(),
                wire.getDurationMillis(),
                wire.getElapsedMillis(),
                Set.copyOf(wire.getRejected()),
                wire.getSlowMillis(),
                wire.isSetRouteShares() ? wire.getRouteShares() : Map.of());
    }

    static WireRolloutEvidence toWire(String service, long orderId, NodeEvidence evidence) {
        List<WireRouteOutcomes> outcomes = new ArrayList<>();
        evidence.outcomes()
                .forEach(
                        (key, value) ->
                                outcomes.add(
                                        new WireRouteOutcomes(
                                                key.route(),
                                                key.target(),
                                                value.answered(),
                                                value.failed(),
                                                value.timed(),
                                                value.slow(),
                                                value.latencies())));
        Map<String, WireServerOutcomes> servers = new HashMap<>();
        evidence.servers()
                .forEach(
                        (server, value) ->
                                servers.put(
                                        server,
                                        new WireServerOutcomes(value.answered(), value.bad())));
        return new WireRolloutEvidence(
                service,
                orderId,
                evidence.node(),
                evidence.incarnation(),
                evidence.sequence(),
                evidence.requests(),
                evidence.exposed(),
                evidence.basePending(),
                outcomes,
                servers);
    }

    static NodeEvidence fromWire(WireRolloutEvidence wire) {
        Map<RouteVersion, Outcomes> outcomes = new HashMap<>();
        for (WireRouteOutcomes route : wire.getOutcomes()) {
            outcomes.put(
                    new RouteVersion(route.getRoute(), route.isTarget()),
                    new Outcomes(
                            route.getAnswered(),
                            route.getFailed(),
                            route.getTimed(),
                            route.getSlow(),
                            route.getLatencies()));
        }
        Map<String, ServerOutcomes> servers = new HashMap<>();
        wire.getServers()
                .forEach(
                        (server, value) ->
                                servers.put(
                                        server,
                                        new ServerOutcomes(value.getAnswered(), value.getBad())));
        return new NodeEvidence(
                wire.getNode(),
                wire.getIncarnation(),
                wire.getSequence(),
                wire.getRequests(),
                wire.getExposed(),
                wire.getBasePending(),
                outcomes,
                servers);
    }
}
