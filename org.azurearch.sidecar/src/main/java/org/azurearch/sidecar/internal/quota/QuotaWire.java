package org.azurearch.sidecar.internal.quota;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.sidecar.account.QuotaAsk;
import org.azurearch.sidecar.account.QuotaReply;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireQuotaAsk;
import org.azurearch.thrift.WireQuotaMessage;
import org.azurearch.thrift.WireQuotaReply;

/** Converts messages about quotas to and from their Thrift form. */
final class QuotaWire {
    private static final int ASK_FIGURES = 5;
    private static final int REPLY_FIGURES = 3;

    private QuotaWire() {}

    static HopFrame frame(int partition, QuotaAsk ask) {
        List<String> accounts = new ArrayList<>(ask.entries().size());
        List<Integer> figures = new ArrayList<>(ASK_FIGURES * ask.entries().size());
        List<Integer> others = new ArrayList<>(ask.entries().size());
        for (QuotaAsk.Entry entry : ask.entries()) {
            accounts.add(entry.account());
            figures.add(entry.held());
            figures.add(entry.needed());
            figures.add(entry.soon());
            figures.add(entry.ahead());
            figures.add(entry.returned());
            others.add(entry.others());
        }
        WireQuotaAsk wire =
                new WireQuotaAsk(
                        ask.node(),
                        ask.epoch(),
                        ask.sequence(),
                        ask.acknowledged(),
                        ask.sentMillis(),
                        ask.echoEpoch(),
                        ask.echoMillis(),
                        ask.members(),
                        ask.release(),
                        accounts,
                        figures);
        wire.setPartition(partition);
        wire.setOthers(others);
        return HopFrame.quota(WireQuotaMessage.ask(wire));
    }

    static HopFrame frame(int partition, QuotaReply reply) {
        List<String> accounts = new ArrayList<>(reply.grants().size());
        List<Integer> figures = new ArrayList<>(REPLY_FIGURES * reply.grants().size());
        for (QuotaReply.Grant grant : reply.grants()) {
            accounts.add(grant.account());
            figures.add(grant.urgent());
            figures.add(grant.held());
            figures.add(grant.waitMillis());
        }
        WireQuotaReply wire =
                new WireQuotaReply(
                        reply.coordinator(),
                        reply.epoch(),
                        reply.sequence(),
                        reply.sentMillis(),
                        reply.echoMillis(),
                        reply.released(),
                        accounts,
                        figures);
        return HopFrame.quota(WireQuotaMessage.reply(wire.setPartition(partition)));
    }

    static QuotaAsk fromWire(WireQuotaAsk wire) {
        List<String> accounts = wire.getAccounts();
        List<Integer> figures = checked(wire.getFigures(), accounts.size() * ASK_FIGURES);
        List<Integer> others =
                wire.isSetOthers()
                        ? checked(wire.getOthers(), accounts.size())
                        : Collections.nCopies(accounts.size(), 0);
        List<QuotaAsk.Entry> entries = new ArrayList<>(accounts.size());
        for (int i = 0; i < accounts.size(); i++) {
            int at = i * ASK_FIGURES;
            entries.add(
                    new QuotaAsk.Entry(
                            accounts.get(i),
                            figures.get(at),
                            figures.get(at + 1),
                            others.get(i),
                            figures.get(at + 2),
                            figures.get(at + 3),
                            figures.get(at + 4)));
        }
        return new QuotaAsk(
                wire.getNode(),
                wire.getEpoch(),
                wire.getSequence(),
                wire.getAcknowledged(),
                wire.getSentAtMillis(),
                wire.getEchoEpoch(),
                wire.getEchoMillis(),
                wire.getMembers(),
                wire.isRelease(),
                entries);
    }

    static QuotaReply fromWire(WireQuotaReply wire) {
        List<String> accounts = wire.getAccounts();
        List<Integer> figures = checked(wire.getFigures(), accounts.size() * REPLY_FIGURES);
        List<QuotaReply.Grant> grants = new ArrayList<>(accounts.size());
        for (int i = 0; i < accounts.size(); i++) {
            int at = i * REPLY_FIGURES;
            grants.add(
                    new QuotaReply.Grant(
                            accounts.get(i),
                            figures.get(at),
                            figures.get(at + 1),
                            figures.get(at + 2)));
        }
        return new QuotaReply(
                wire.getCoordinator(),
                wire.getEpoch(),
                wire.getSequence(),
                wire.getSentAtMillis(),
                wire.getEchoMillis(),
                wire.isReleased(),
                grants);
    }

    private static List<Integer> checked(List<Integer> figures, int size) {
        if (figures.size() != size || figures.stream().anyMatch(figure -> figure < 0)) {
            throw new AzurearchException(ErrorCode.CORRUPT, "malformed message about quotas");
        }
        return figures;
    }
}
