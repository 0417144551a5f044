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

/** Tells other nodes that this one leaves by plan, and waits until enough of them answered. */
final class LeaveNotifier {
    /** How many nodes of the data centre are told directly; they spread it further. */
    static final int MAX_LOCAL_RECIPIENTS = 8;

    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    /**
     * What to tell whom.
     *
     * @param self the record of this node, which says that it left
     * @param recipients the nodes to tell
     */
    record Notice(Member self, List<Member> recipients) {}

    private final PeerClient mClient;

    LeaveNotifier(PeerClient client) {
        mClient = client;
    }

    /** Sends the notice; returns when all the nodes told have answered or failed, or time is up. */
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
