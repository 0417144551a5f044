package org.azurearch.internal.config;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.azurearch.config.ClassConfig;
import org.azurearch.config.FirmLimits;
import org.azurearch.config.PolicyConfig;
import org.azurearch.config.RouteConfig;
import org.azurearch.config.ServiceConfig;
import org.azurearch.config.SiteConfig;
import org.azurearch.errors.InvalidInputException;
import org.azurearch.errors.Problem;
import org.azurearch.internal.yaml.SchemaCheck;
import org.azurearch.lib.ClassId;
import org.azurearch.lib.Digest;
import org.azurearch.lib.NamedId;
import org.azurearch.lib.PolicyId;
import org.azurearch.lib.RouteId;
import org.azurearch.lib.ServiceId;
import org.azurearch.lib.SiteId;
import org.azurearch.lib.VersionId;
import org.azurearch.yaml.YamlEntry;
import org.azurearch.yaml.YamlMapping;
import org.jspecify.annotations.Nullable;

/** Compiles a merged document into the configuration of one site, or says why it is invalid. */
public final class SiteCompiler {
    private static final Duration NONE = Duration.ZERO;
    private static final Duration SHORTEST = Duration.ofMillis(1);
    private static final Duration SHORTEST_PROBE_PERIOD = Duration.ofMillis(100);
    private static final Duration LONGEST_QUEUE_WAIT = Duration.ofMinutes(1);
    private static final Duration LONGEST = Duration.ofHours(1);

    private final YamlMapping mMerged;
    private final List<Problem> mProblems = new ArrayList<>();
    private final Map<RouteId, EntryReader> mRouteReaders = new LinkedHashMap<>();

    private SiteCompiler(YamlMapping merged) {
        mMerged = merged;
    }

    /**
     * Compiles a site.
     *
     * @param version the version that the result carries
     * @param site the site
     * @param base the base
     * @param overlay the overlay of the site, or null
     * @param ruleSet the rules to judge by
     * @throws InvalidInputException naming every problem
     */
    public static SiteConfig compile(
            VersionId version,
            SiteId site,
            ParsedDocument base,
            @Nullable ParsedDocument overlay,
            int ruleSet) {
        List<Problem> problems = new ArrayList<>();
        YamlMapping merged = DocumentMerge.merge(base, overlay, problems);
        SiteCompiler compiler = new SiteCompiler(merged);
        SiteConfig config = compiler.config(version, site);
        compiler.judge(config, ruleSet);
        problems.addAll(compiler.mProblems);
        if (!problems.isEmpty()) {
            throw new InvalidInputException(SchemaCheck.sorted(problems));
        }
        return config;
    }

    private SiteConfig config(VersionId version, SiteId site) {
        String text = new MergedText(mMerged).text();
        return new SiteConfig(
                version,
                site,
                Digest.of(text.getBytes(StandardCharsets.UTF_8)),
                entries(Section.SERVICES, ServiceId::fromString, this::service),
                entries(Section.CLASSES, ClassId::fromString, this::callClass),
                entries(Section.POLICIES, PolicyId::fromString, this::policy),
                entries(Section.ROUTES, RouteId::fromString, this::route),
                limits());
    }

    private void judge(SiteConfig config, int ruleSet) {
        RouteRules rules = new RouteRules(config, mRouteReaders);
        rules.checkReferences();
        rules.checkAmbiguity();
        if (ruleSet >= RuleSets.QUEUE_WAIT_WITHIN_DEADLINE) {
            rules.checkQueueWait();
        }
    }

    private <K extends NamedId, V> Map<K, V> entries(
            Section section, Function<String, K> id, EntryCompiler<K, V> compiler) {
        Map<K, V> compiled = new LinkedHashMap<>();
        for (YamlEntry entry : mMerged.mapping(section.key()).entries().values()) {
            String path = section.key() + "." + entry.key();
            K key = id.apply(entry.key());
            compiled.put(key, compiler.compile(key, new EntryReader(path, entry, mProblems)));
        }
        return compiled;
    }

    private FirmLimits limits() {
        YamlMapping limits = mMerged.mapping("limits");
        YamlEntry entry = new YamlEntry("limits", limits.location(), limits);
        EntryReader reader = new EntryReader("limits", entry, mProblems);
        return new FirmLimits(reader.integer("callsPerSecond"), reader.integer("share"));
    }

    private ClassConfig callClass(ClassId id, EntryReader reader) {
        return new ClassConfig(id, reader.integer("priority"));
    }

    private PolicyConfig policy(PolicyId id, EntryReader reader) {
        return new PolicyConfig(
                id,
                reader.integer("attempts"),
                reader.integer("retryBudgetPercent"),
                reader.integer("queueLength"),
                reader.duration("queueWait", NONE, LONGEST_QUEUE_WAIT));
    }

    private ServiceConfig service(ServiceId id, EntryReader reader) {
        return new ServiceConfig(
                id,
                reader.integer("slots"),
                reader.integer("connections"),
                reader.duration("slowStart", NONE, LONGEST),
                reader.text("probePath"),
                reader.duration("probePeriod", SHORTEST_PROBE_PERIOD, LONGEST));
    }

    private RouteConfig route(RouteId id, EntryReader reader) {
        mRouteReaders.put(id, reader);
        return new RouteConfig(
                id,
                reader.text("host"),
                reader.text("path"),
                reader.texts("methods"),
                ServiceId.fromString(reader.text("service")),
                ClassId.fromString(reader.text("class")),
                PolicyId.fromString(reader.text("policy")),
                reader.bool("idempotent"),
                reader.duration("deadline", SHORTEST, LONGEST));
    }

    /** Compiles one entry. */
    private interface EntryCompiler<K, V> {
        V compile(K key, EntryReader reader);
    }
}
