package org.azurearch.internal.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.azurearch.events.EventLog;
import org.azurearch.member.Member;
import org.azurearch.transport.PeerClient;

/** Notifies peers that this node is leaving, and waits for their replies. */
final class LeaveNotifier {
    /** Maximum number of nodes of the data centre to notify directly; they gossip it further. */
    static final int MAX_LOCAL_RECIPIENTS = 8;

    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    /**
     * The notice and its recipients.
     *
     * @param self this node's record, in state {@code LEFT}
     * @param recipients the nodes to notify
     */
    record Notice(Member self, List<Member> recipients) {}

    private final PeerClient mClient;

    LeaveNotifier(PeerClient client) {
        mClient = client;
    }

    /**
     * Sends the notice; returns when all recipients have answered or failed, or after a timeout.
     */
    void send(CompletableFuture<Notice> notice) {
        List<CompletableFuture<?>> answers = new ArrayList<>();
        try {
            Notice content = notice.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            for (Member node : content.recipients()) {
                answers.add(
                        mClient.send(
                                node.peer(),
                                EffectRunner.pingRequest(
                                        node.node().name(), Gossip.of(content.self())),
                                TIMEOUT));
            }
            CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                    .exceptionally(failure -> null)
                    .get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            EventLog.log(MemberEvent.LEAVE_UNCONFIRMED, e, confirmed(answers), answers.size());
            return;
        }
        if (confirmed(answers) < answers.size()) {
            EventLog.log(MemberEvent.LEAVE_UNCONFIRMED, confirmed(answers), answers.size());
        }
    }

    private static long confirmed(List<CompletableFuture<?>> answers) {
        return answers.stream()
                .filter(answer -> answer.isDone() && !answer.isCompletedExceptionally())
                .count();
    }
}
