package org.azurearch.pgm;

import joptsimple.OptionSet;
import org.azurearch.admin.MemberReport;
import org.azurearch.admin.MembersCommand;
import org.azurearch.admin.MembersReport;
import org.azurearch.pgm.internal.Output;

/** The {@code members} command: lists nodes and the backend servers behind them. */
@Command(name = "members", summary = PgmText.SUMMARY_MEMBERS)
public final class MembersSubcommand extends RemoteSubcommand {
    @Override
    protected ExitCode run(OptionSet options, Output output) {
        MembersReport report = new MembersCommand(client(options)).call();
        output.printResult(report, value -> print(value, output));
        return ExitCode.DONE;
    }

    private static void print(MembersReport report, Output output) {
        for (MemberReport member : report.members()) {
            output.printLine(
                    PgmText.MEMBER_LINE.format(
                            member.node(),
                            member.dataCentre(),
                            member.state(),
                            member.admin(),
                            member.calls()));
            for (MemberReport.EndpointReport endpoint : member.endpoints()) {
                output.printLine(
                        PgmText.ENDPOINT_LINE.format(
                                endpoint.firm(),
                                endpoint.service(),
                                endpoint.state(),
                                endpoint.slots()));
            }
        }
    }
}
