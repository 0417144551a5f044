package org.azurearch.pgm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.azurearch.admin.AdminClient;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.pgm.internal.TrustStore;
import org.jspecify.annotations.Nullable;

/** Base of the commands that use the administration API of nodes. */
public abstract class RemoteSubcommand extends Subcommand {
    private static final String NODE_VARIABLE = "AZUREARCH_NODE";
    private static final String TOKEN_VARIABLE = "AZUREARCH_TOKEN";
    private static final String FIRM_VARIABLE = "AZUREARCH_FIRM";

    @Override
    protected void addOptions(OptionParser parser) {
        parser.accepts("node", PgmText.OPTION_NODE.format()).withRequiredArg();
        parser.accepts("token", PgmText.OPTION_TOKEN.format()).withRequiredArg();
        parser.accepts("token-file", PgmText.OPTION_TOKEN_FILE.format()).withRequiredArg();
        parser.accepts("trust-store", PgmText.OPTION_TRUST_STORE.format()).withRequiredArg();
        parser.accepts("trust-password", PgmText.OPTION_TRUST_PASSWORD.format()).withRequiredArg();
    }

    /** Returns a client for the nodes given by the options or the environment. */
    protected final AdminClient client(OptionSet options) {
        return new AdminClient(nodes(options), token(options), sslContext(options));
    }

    /** Adds the option for the firm. */
    protected static void addFirmOption(OptionParser parser) {
        parser.accepts("firm", PgmText.OPTION_FIRM.format()).withRequiredArg();
    }

    /** Returns the firm given by the options or the environment. */
    protected static FirmId firm(OptionSet options) {
        if (options.hasArgument("firm")) {
            return FirmId.fromString(required(options, "firm"));
        }
        return environment(FIRM_VARIABLE)
                .map(FirmId::fromString)
                .orElseThrow(
                        () ->
                                new AzurearchException(
                                        ErrorCode.USAGE, PgmText.MISSING_OPTION.format("firm")));
    }

    private static List<NetAddress> nodes(OptionSet options) {
        List<String> names =
                options.has("node")
                        ? options.valuesOf("node").stream().map(String::valueOf).toList()
                        : environment(NODE_VARIABLE)
                                .map(value -> Arrays.asList(value.split(",")))
                                .orElse(List.of());
        if (names.isEmpty()) {
            throw new AzurearchException(ErrorCode.USAGE, PgmText.MISSING_OPTION.format("node"));
        }
        return names.stream().map(NetAddress::fromString).toList();
    }

    private static String token(OptionSet options) {
        if (options.hasArgument("token-file")) {
            return readText(Path.of(required(options, "token-file"))).trim();
        }
        return options.hasArgument("token")
                ? required(options, "token")
                : environment(TOKEN_VARIABLE).orElse("");
    }

    private static @Nullable SSLContext sslContext(OptionSet options) {
        if (!options.hasArgument("trust-store")) {
            return null;
        }
        return TrustStore.load(
                Path.of(required(options, "trust-store")), required(options, "trust-password"));
    }

    private static Optional<String> environment(String variable) {
        return Optional.ofNullable(System.getenv(variable)).filter(value -> !value.isEmpty());
    }

    /**
     * Reads a text file.
     *
     * @throws AzurearchException with {@code USAGE} when it cannot be read
     */
    protected static String readText(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new AzurearchException(ErrorCode.USAGE, PgmText.CANNOT_READ.format(file, e), e);
        }
    }
}
