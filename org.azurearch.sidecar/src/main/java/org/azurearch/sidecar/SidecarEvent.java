package org.azurearch.sidecar;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of a node on a platform that stores the configuration, numbers 800 to 899. */
public enum SidecarEvent implements EventCode {
    /** The node has started. */
    STARTED(800, Level.INFO, "node={} incarnation={} calls={} peers={} in {} ms"),
    /** A planned shutdown begins. */
    STOPPING(801, Level.INFO, "calls={} grace_ms={}"),
    /** A planned shutdown ends. */
    STOPPED(802, Level.INFO, "calls={} after {} ms, unsent_bytes={}"),
    /** The settings were reloaded. */
    RELOADED(803, Level.INFO, "service={} backend={}"),
    /** The settings could not be reloaded; the old ones stay in use. */
    RELOAD_FAILED(804, Level.WARN, "settings unchanged: {}"),
    /** The node became ready to take calls, or is no longer ready. */
    READINESS(805, Level.INFO, "ready={} config={} members={}"),
    /** The process was suspended or got no processor; what it reads next may be out of date. */
    PAUSED(806, Level.WARN, "paused_ms={}"),
    /** The event loop ran late, by less than counts as a pause. */
    LATE(807, Level.INFO, "late_ms={}"),
    /** The platform's store cannot be reached. */
    STORE_DOWN(810, Level.WARN, "what={} reason={}"),
    /** The platform's store can be reached again. */
    STORE_UP(811, Level.INFO, "what={} after {} ms"),
    /**
     * The store no longer has the records to read; the newest record of each key is read instead.
     */
    STORE_HISTORY_GONE(812, Level.INFO, "stream={} offset={}"),
    /** A record of the store cannot be decoded and is ignored. */
    STORE_RECORD_UNREADABLE(813, Level.WARN, "stream={} key={} offset={} reason={}"),
    /** This node became a reader of the store for its data centre, or no longer is one. */
    READER(814, Level.INFO, "reader={} rank={}"),
    /** A long poll of the store has no answer in time; the records are read once more. */
    STORE_POLL_LOST(815, Level.INFO, "stream={} offset={}"),
    /** A configuration came into force. */
    CONFIG_IN_FORCE(820, Level.INFO, "version={} before={} routes={} source={}"),
    /** A configuration cannot be decoded; the old one stays in force. */
    CONFIG_UNREADABLE(821, Level.ERROR, "source={} reason={}"),
    /** Peers held a configuration, or may have, some time before it came into force here. */
    CONFIG_LATE(822, Level.WARN, "version={} announced_ms={} unheard_ms={}"),
    /** The configuration in force has not been confirmed for too long, or is again. */
    CONFIG_LEASE(823, Level.WARN, "valid={} version={} age_ms={} links={}"),
    /**
     * By what, and how long ago, a version was last known to be the newest: when the next one comes
     * into force, or when the first has not been confirmed for too long.
     */
    CONFIG_CONFIRMED(824, Level.INFO, "version={} by={} age_ms={} next={}"),
    /** The backend server behind this node changed. */
    BACKEND_CHANGED(830, Level.INFO, "instance={} service={} ready={} slots={} cause={}"),
    /** A heartbeat of the backend server is ignored. */
    BACKEND_REPORT_IGNORED(831, Level.INFO, "instance={} sequence={} reason={}"),
    /** The connection to the backend server was lost while it ran a request. */
    REQUEST_LOST(832, Level.INFO, "id={} fingerprint={} instance={} reason={}"),
    /** The backend server crashed; the requests in flight become suspects. */
    BACKEND_CRASHED(833, Level.WARN, "instance={} crash={} requests={}"),
    /** A request was in flight at its second crash and is refused from now on. */
    REQUEST_CONTAINED(834, Level.ERROR, "fingerprint={} crash={} request={}"),
    /** The backend server named a limit of its requests, another one, or none any more. */
    BACKEND_LIMIT(835, Level.INFO, "instance={} per_second={} before={}"),
    /** A suspect has completed, so that its earlier crashes no longer count against it. */
    SUSPECT_CLEARED(836, Level.INFO, "id={} fingerprint={} crashes={}"),
    /** An attempt at the backend server behind this node ended long after its deadline. */
    ATTEMPT_OVERDUE(837, Level.INFO, "id={} route={} overdue_ms={} answered={}"),
    /** Another run of a backend server took the place of one, whose attempts under way end. */
    BACKEND_REPLACED(838, Level.INFO, "instance={} by={} under_way={} waiting={}"),
    /** The link to a peer came up or went down. */
    LINK(840, Level.INFO, "node={} up={}"),
    /** A connection to a peer failed. */
    HOP_CONNECTION_FAILED(841, Level.INFO, "peer={} reason={}"),
    /** A connection to a peer is replaced or closed because nothing arrived on it. */
    HOP_SILENT(842, Level.WARN, "node={} silent_ms={} calls={}"),
    /** The record of a peer changed. */
    MEMBER(843, Level.INFO, "node={} dc={} incarnation={} leaving={} backend={} ready={}"),
    /** A record that a peer sent has a value out of range and is ignored. */
    MEMBER_RECORD_IGNORED(844, Level.WARN, "node={} reason={}"),
    /**
     * Calls of a peer are cancelled, as it has been silent or without a connection for too long.
     */
    PEER_CALLS_LOST(845, Level.INFO, "peer={} calls={} silent_ms={}"),
    /** Another node answers at the address of a peer, whose VM is gone. */
    LINK_TO_OTHER(846, Level.INFO, "node={} address={} answered_by={}"),
    /** A peer is heard again: what became of the calls that were sent over lost connections. */
    CALLS_RESUMED(847, Level.INFO, "node={} same_run={} known={} not_received={} lost={}"),
    /** More bytes of shared state than usual were sent to peers within a second, by kind. */
    STATE_TRAFFIC(848, Level.INFO, "bytes={}"),
    /** A call ended without an answer of a backend server. */
    CALL_FAILED(
            850,
            Level.INFO,
            "id={} route={} service={} config={} status={} code={} verdict={} attempts={} ms={}"
                    + " retry_after_ms={} detail={}"),
    /** An attempt of a call failed; the line names the next step. */
    ATTEMPT_FAILED(
            851, Level.INFO, "id={} node={} attempt={} code={} verdict={} next={} detail={}"),
    /** A call ended with an answer; one in a hundred such calls is logged. */
    CALL_ANSWERED(852, Level.INFO, "id={} route={} status={} node={} attempts={} ms={}"),
    /** The caller disconnected before the answer. */
    CALL_CANCELLED(853, Level.INFO, "id={} route={} attempts={} ms={}"),
    /** Lines about calls were dropped because their rate is limited. */
    CALL_LINES_DROPPED(854, Level.WARN, "count={}"),
    /** A caller sent a malformed request. */
    CALLER_MALFORMED(855, Level.INFO, "peer={} reason={}"),
    /** A handler failed; the connection is closed. */
    HANDLER_FAILED(856, Level.ERROR, "where={} reason={}"),
    /** A caller sends far ahead of its answers and is read slowly, or normally again. */
    CALLER_READING(857, Level.INFO, "peer={} slowly={} requests={} bytes={} ahead={}"),
    /** This node closes the connection of a caller that awaits answers. */
    CALLER_CLOSED(858, Level.WARN, "peer={} reason={} requests={} unsent_bytes={}"),
    /** Requests were refused, as the memory for requests is used up. */
    REQUEST_MEMORY_FULL(859, Level.WARN, "refused={} held_bytes={}"),
    /**
     * The link of this VM is limited; requests whose answers it cannot send in time are refused.
     */
    LINK_LIMITED(860, Level.INFO, "mbps={}"),
    /** A connection is closed, as a listener has as many as it may. */
    CONNECTIONS_FULL(861, Level.WARN, "limit={} closed={}"),
    /** An operator ordered the roll-out of a version, or withdrew the order. */
    ROLLOUT_ORDERED(865, Level.INFO, "service={} version={} duration_ms={} order={}"),
    /** The state of a roll-out moved on. */
    ROLLOUT_STATE(
            866, Level.INFO, "service={} version={} verdict={} step={} share={} elapsed_ms={}"),
    /** This node began to coordinate a roll-out, or no longer does. */
    ROLLOUT_COORDINATOR(867, Level.INFO, "service={} order={} leads={} rank={}"),
    /** This node sends nothing more to a new version, on its own evidence. */
    ROLLOUT_STOPPED_HERE(868, Level.WARN, "service={} version={} bad={} exposed={}"),
    /** The state of a roll-out cannot be saved; the attempt is repeated. */
    ROLLOUT_NOT_SAVED(869, Level.WARN, "service={} verdict={} reason={}"),
    /** An operator's order cannot be decoded and is ignored. */
    ROLLOUT_ORDER_UNREADABLE(870, Level.ERROR, "key={} reason={}"),
    /** A state of a roll-out that a peer sent cannot be read and is ignored. */
    ROLLOUT_STATE_IGNORED(871, Level.WARN, "service={} reason={}"),
    /** A coordinator halts a version, or a node sends it nothing more: the evidence against it. */
    ROLLOUT_HALTED(872, Level.WARN, "service={} version={} step={} share={} cause={}"),
    /** A configuration with client accounts came into force; withdrawn keys are refused now. */
    ACCOUNTS_IN_FORCE(875, Level.INFO, "version={} accounts={} keys={} added={} withdrawn={}"),
    /**
     * Another node coordinates a partition of the accounts, or none, so that this node spends its
     * base shares.
     */
    QUOTA_COORDINATOR(876, Level.INFO, "partition={} coordinator={} members={}"),
    /** Requests of a client account are refused with 429; at most one line in five seconds. */
    ACCOUNT_LIMITED(
            877,
            Level.INFO,
            "account={} per_second={} burst={} refused={} retry_after_ms={} coordinator={}"),
    /** What became of requests and tokens, while any were refused; at most one line a second. */
    QUOTA_TOKENS(
            878,
            Level.INFO,
            "allowed={} at_limit={} no_answer={} waited={} returned={} unused={} delegated={}"
                    + " members={}"),
    /** The number of nodes that hold a share of what all divide changed; 0 if this holds none. */
    SHARE_HOLDERS(879, Level.INFO, "holders={} known={} reachable={}"),
    /** A request whose first attempt is slow is also sent to a second backend server. */
    HEDGED(
            890,
            Level.INFO,
            "id={} route={} first={} second={} after_ms={} remaining_ms={} second_ms={}");

    private final EventInfo mInfo;

    SidecarEvent(int number, Level level, String message) {
        mInfo = new EventInfo(number, level, message);
    }

    @Override
    public EventInfo info() {
        return mInfo;
    }
}
