package org.azurearch.sidecar.internal.hop;

import io.netty.util.NetUtil;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.azurearch.call.SuspectTable.Strike;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.Verdict;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.call.BackendAnswer;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.internal.suspect.StrikeEntry;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.sidecar.route.EndpointLoad;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireBackend;
import org.azurearch.thrift.WireHopAnswer;
import org.azurearch.thrift.WireHopCall;
import org.azurearch.thrift.WireHopFailure;
import org.azurearch.thrift.WireLoad;
import org.azurearch.thrift.WireNodeRecord;
import org.azurearch.thrift.WireNodeRecords;
import org.azurearch.thrift.WireStrike;
import org.jspecify.annotations.Nullable;

/** Converts between the node's own types and the Thrift types of the frames. */
public final class HopWire {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double MICROS_PER_MILLI = 1_000.0;

    /** The largest incarnation or sequence; leaves room for a node to supersede a record. */
    private static final long MAX_VERSION = 1L << 53;

    private HopWire() {}

    /**
     * Returns the frame with the records of some nodes.
     *
     * @param relayed whether receivers do not forward them
     */
    public static HopFrame frame(List<NodeRecord> records, boolean relayed) {
        List<WireNodeRecord> wire = new ArrayList<>();
        records.forEach(record -> wire.add(toWire(record)));
        return HopFrame.records(new WireNodeRecords(wire, relayed));
    }

    /** Returns the Thrift form of a node record. */
    public static WireNodeRecord toWire(NodeRecord record) {
        WireNodeRecord wire =
                new WireNodeRecord(
                        record.node(),
                        record.dataCentre(),
                        record.address().host(),
                        record.address().port(),
                        record.incarnation(),
                        record.sequence(),
                        record.leaving(),
                        record.storeReachable());
        BackendRecord backend = record.backend();
        if (backend != null) {
            wire.setBackend(toWire(backend));
        }
        if (Double.isFinite(record.linkMbps())) {
            wire.setLinkMbps(record.linkMbps());
        }
        return wire;
    }

    private static WireBackend toWire(BackendRecord backend) {
        WireBackend wire =
                new WireBackend(
                        backend.service(),
                        backend.instance(),
                        backend.slots(),
                        backend.ready(),
                        backend.warmingMillis());
        if (backend.limitPerSecond() >= 0) {
            wire.setLimitPerSecond(backend.limitPerSecond());
        }
        if (!backend.version().isEmpty()) {
            wire.setSoftwareVersion(backend.version());
        }
        return wire.setStartedMillis(backend.startedMillis()).setLeaving(backend.leaving());
    }

    private static BackendRecord fromWire(WireBackend wire) {
        return new BackendRecord(
                wire.getServiceName(),
                wire.getInstance(),
                wire.getSlots(),
                wire.isReady(),
                wire.getWarmingMillis(),
                wire.isSetLimitPerSecond() ? wire.getLimitPerSecond() : BackendRecord.NO_LIMIT,
                wire.getStartedMillis(),
                wire.isLeaving(),
                wire.isSetSoftwareVersion() ? wire.getSoftwareVersion() : "");
    }

    /**
     * Returns the node record of its Thrift form.
     *
     * @throws RuntimeException if a value is outside its range; the record is of no use then
     */
    public static NodeRecord fromWire(WireNodeRecord wire) {
        WireBackend backend = wire.getBackend();
        if (!isVersion(wire.getIncarnation()) || !isVersion(wire.getSequence())) {
            throw new AzurearchException(
                    ErrorCode.CORRUPT,
                    "incarnation or sequence out of range: "
                            + wire.getIncarnation()
                            + ", "
                            + wire.getSequence());
        }
        return new NodeRecord(
                NodeId.fromString(wire.getNode()).name(),
                wire.getDataCentre(),
                peerAddress(wire.getHost(), wire.getPort()),
                wire.getIncarnation(),
                wire.getSequence(),
                wire.isLeaving(),
                wire.isStoreReachable(),
                backend == null ? null : fromWire(backend),
                wire.isSetLinkMbps() ? wire.getLinkMbps() : Double.POSITIVE_INFINITY);
    }

    /** Returns the node record of its Thrift form; null, and logs it, if it is of no use. */
    public static @Nullable NodeRecord fromWireOrNull(WireNodeRecord wire) {
        try {
            return fromWire(wire);
        } catch (RuntimeException e) {
            EventLog.log(SidecarEvent.MEMBER_RECORD_IGNORED, wire.getNode(), e.toString());
            return null;
        }
    }

    private static boolean isVersion(long number) {
        return number >= 0 && number <= MAX_VERSION;
    }

    /** Returns the address of a peer, whose host must not need a lookup on the event loop. */
    private static NetAddress peerAddress(String host, int port) {
        if (!NetUtil.isValidIpV4Address(host) && !NetUtil.isValidIpV6Address(host)) {
            throw new AzurearchException(ErrorCode.BAD_NAME, "not an IP address: " + host);
        }
        return new NetAddress(host, port);
    }

    /**
     * Returns the Thrift form of strikes, with ages in place of times.
     *
     * @param nowMillis the time, on the clock of the strikes
     */
    public static List<WireStrike> toWire(List<StrikeEntry> entries, long nowMillis) {
        List<WireStrike> wire = new ArrayList<>();
        for (StrikeEntry entry : entries) {
            Strike strike = entry.strike();
            wire.add(
                    new WireStrike(
                            strike.fingerprint(),
                            strike.targetDigest(),
                            strike.summary(),
                            strike.crash(),
                            (int) (nowMillis - strike.atMillis()),
                            entry.cleared()));
        }
        return wire;
    }

    /**
     * Returns the strikes of their Thrift form.
     *
     * @param takenMillis the time at which the ages were computed, on the clock of the strikes
     */
    public static List<StrikeEntry> fromWire(List<WireStrike> wire, long takenMillis) {
        List<StrikeEntry> entries = new ArrayList<>();
        for (WireStrike strike : wire) {
            entries.add(
                    new StrikeEntry(
                            new Strike(
                                    strike.getFingerprint(),
                                    strike.getTargetDigest(),
                                    strike.getSummary(),
                                    strike.getCrash(),
                                    takenMillis - Math.max(0, strike.getAgeMillis())),
                            strike.isCleared()));
        }
        return entries;
    }

    static WireHopCall toWire(HopCall call, long nowNanos) {
        WireHopCall wire =
                new WireHopCall(
                        call.id(),
                        call.method(),
                        call.target(),
                        call.headers(),
                        ByteBuffer.wrap(call.body()),
                        (int) ((call.deadlineNanos() - nowNanos) / NANOS_PER_MILLI),
                        (int) ((call.targetNanos() - nowNanos) / NANOS_PER_MILLI),
                        call.rank(),
                        call.service(),
                        call.route(),
                        call.idempotent());
        if (!call.account().isEmpty()) {
            wire.setAccount(call.account()).setAccountWeight(call.accountWeight());
        }
        return wire;
    }

    /** Returns the call of a frame that arrived at the given time. */
    public static HopCall fromWire(WireHopCall wire, long nowNanos) {
        return new HopCall(
                wire.getId(),
                wire.getMethod(),
                wire.getTarget(),
                wire.getHeaders(),
                wire.getBody(),
                nowNanos + wire.getLeftMillis() * NANOS_PER_MILLI,
                nowNanos + wire.getTargetLeftMillis() * NANOS_PER_MILLI,
                wire.getRank(),
                wire.getServiceName(),
                wire.getRoute(),
                wire.isIdempotent(),
                wire.isSetAccount() ? wire.getAccount() : "",
                wire.isSetAccountWeight() ? wire.getAccountWeight() : HopCall.DEFAULT_WEIGHT);
    }

    /** Returns the Thrift form of an answer. */
    public static WireHopAnswer toWire(long id, BackendAnswer answer, EndpointLoad load) {
        return new WireHopAnswer(
                id,
                answer.status(),
                answer.headers(),
                ByteBuffer.wrap(answer.body()),
                toWire(load),
                (int) (answer.workMillis() * MICROS_PER_MILLI));
    }

    /** Returns the Thrift form of a failure. */
    public static WireHopFailure toWire(long id, AttemptFailure failure, EndpointLoad load) {
        return new WireHopFailure(
                id,
                failure.verdict().ordinal(),
                failure.code().name(),
                failure.reachedBackend(),
                (int) failure.retryAfterMillis(),
                failure.detail(),
                toWire(load));
    }

    static BackendAnswer fromWire(WireHopAnswer wire) {
        return new BackendAnswer(
                wire.getStatus(),
                wire.getHeaders(),
                wire.getBody(),
                wire.getWorkMicros() / MICROS_PER_MILLI);
    }

    /**
     * Returns the failure of its Thrift form. The outcome of one with a verdict or code that this
     * node does not know is unknown.
     */
    static AttemptFailure fromWire(WireHopFailure wire) {
        Verdict verdict = verdict(wire.getVerdict());
        ErrorCode code = code(wire.getCode());
        if (verdict == null || code == null) {
            return AttemptFailure.unknown(
                    ErrorCode.CORRUPT,
                    "unknown verdict or code: " + wire.getVerdict() + ", " + wire.getCode());
        }
        return new AttemptFailure(
                verdict,
                code,
                wire.isReachedBackend(),
                wire.getRetryAfterMillis(),
                wire.getDetail());
    }

    private static @Nullable Verdict verdict(int ordinal) {
        Verdict[] verdicts = Verdict.values();
        return ordinal >= 0 && ordinal < verdicts.length ? verdicts[ordinal] : null;
    }

    private static @Nullable ErrorCode code(String name) {
        try {
            return ErrorCode.valueOf(name);
        } catch (IllegalArgumentException e) {
            return null; // the caller reports the name
        }
    }

    /** Returns the load of its Thrift form; ranks that this node does not know count as last. */
    static EndpointLoad fromWire(WireLoad wire) {
        return new EndpointLoad(
                wire.getRunning(),
                knownRanks(wire.getWaiting()),
                wire.getWorkMicros() / MICROS_PER_MILLI,
                wire.getFailurePercent(),
                wire.isSetStartWaitMillis() ? wire.getStartWaitMillis() : 0,
                wire.isSetLinkWaitMillis() ? wire.getLinkWaitMillis() : 0,
                wire.isSetLinkMbps() ? wire.getLinkMbps() : Double.POSITIVE_INFINITY);
    }

    private static List<Integer> knownRanks(List<Integer> waiting) {
        int last = EndpointLoad.RANK_COUNT - 1;
        if (waiting.size() <= EndpointLoad.RANK_COUNT) {
            return waiting;
        }
        List<Integer> known = new ArrayList<>(waiting.subList(0, last));
        known.add(waiting.subList(last, waiting.size()).stream().mapToInt(n -> n).sum());
        return known;
    }

    /** Omits the ranks after the last one with a waiting request, which most reports lack. */
    private static List<Integer> usedRanks(List<Integer> waiting) {
        int used = waiting.size();
        while (used > 0 && waiting.get(used - 1) == 0) {
            used--;
        }
        return waiting.subList(0, used);
    }

    static WireLoad toWire(EndpointLoad load) {
        WireLoad wire =
                new WireLoad(
                        load.running(),
                        usedRanks(load.waiting()),
                        (int) (load.workMillis() * MICROS_PER_MILLI),
                        load.failurePercent());
        if (load.startWaitMillis() > 0) {
            wire.setStartWaitMillis((int) Math.ceil(load.startWaitMillis()));
        }
        if (load.linkWaitMillis() >= 1) {
            wire.setLinkWaitMillis((int) Math.ceil(load.linkWaitMillis()));
        }
        if (load.linkMbps() < Double.POSITIVE_INFINITY) {
            wire.setLinkMbps(load.linkMbps());
        }
        return wire;
    }
}
