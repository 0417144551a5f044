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
import org.azurearch.internal.yaml.SchemaValidator;
import org.azurearch.lib.ClassId;
import org.azurearch.lib.Digest;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NamedId;
import org.azurearch.lib.PolicyId;
import org.azurearch.lib.RouteId;
import org.azurearch.lib.ServiceId;
import org.azurearch.lib.SiteId;
import org.azurearch.lib.VersionId;
import org.azurearch.yaml.YamlEntry;
import org.azurearch.yaml.YamlMapping;
import org.jspecify.annotations.Nullable;

/** Compiles a merged document into the configuration of one site, or reports its problems. */
public final class SiteCompiler {
    private static final Duration NO_MINIMUM = Duration.ZERO;
    private static final Duration MIN_DEADLINE = Duration.ofMillis(1);
    private static final Duration MIN_PROBE_PERIOD = Duration.ofMillis(100);
    private static final Duration MAX_QUEUE_WAIT = Duration.ofMinutes(1);
    private static final Duration MAX_DURATION = Duration.ofHours(1);

    private final BaseLayer mBase;
    private final YamlMapping mMerged;
    private final List<Problem> mProblems = new ArrayList<>();
    private final Map<RouteId, EntryReader> mRouteReaders = new LinkedHashMap<>();

    private SiteCompiler(BaseLayer base, @Nullable ParsedDocument overlay) {
        mBase = base;
        mMerged = DocumentMerge.merge(base, overlay, mProblems);
    }

    /**
     * Compiles a site.
     *
     * @param version the version of the result
     * @param site the site
     * @param base the base
     * @param overlay the overlay of the site, or null
     * @param ruleSet the rule set to validate by
     * @throws InvalidInputException with every problem found
     */
    public static SiteConfig compile(
            VersionId version,
            SiteId site,
            BaseLayer base,
            @Nullable ParsedDocument overlay,
            int ruleSet) {
        SiteCompiler compiler = new SiteCompiler(base, overlay);
        String text = new MergedPrinter(compiler.mMerged).text();
        Digest digest = Digest.of(text.getBytes(StandardCharsets.UTF_8));
        SiteConfig config = compiler.config(version, site, digest);
        List<Problem> problems = compiler.validate(config, ruleSet);
        if (!problems.isEmpty()) {
            throw new InvalidInputException(problems);
        }
        return config;
    }

    /**
     * Returns the problems of a site, sorted; empty if it is valid.
     *
     * @param firm the firm
     * @param site the site
     * @param base the base
     * @param overlay the overlay of the site, or null
     * @param ruleSet the rule set to validate by
     */
    public static List<Problem> problems(
            FirmId firm,
            SiteId site,
            BaseLayer base,
            @Nullable ParsedDocument overlay,
            int ruleSet) {
        SiteCompiler compiler = new SiteCompiler(base, overlay);
        VersionId none = new VersionId(firm, 0);
        return compiler.validate(compiler.config(none, site, Digest.EMPTY), ruleSet);
    }

    private SiteConfig config(VersionId version, SiteId site, Digest digest) {
        return new SiteConfig(
                version,
                site,
                digest,
                entries(Section.SERVICES, ServiceId::fromString, mBase.services(), this::service),
                entries(Section.CLASSES, ClassId::fromString, mBase.classes(), this::callClass),
                entries(Section.POLICIES, PolicyId::fromString, mBase.policies(), this::policy),
                entries(Section.ROUTES, RouteId::fromString, mBase.routes(), this::route),
                limits());
    }

    private List<Problem> validate(SiteConfig config, int ruleSet) {
        RouteValidator validator = new RouteValidator(config, mRouteReaders);
        validator.checkReferences();
        validator.checkAmbiguity();
        if (ruleSet >= RuleSets.QUEUE_WAIT_WITHIN_DEADLINE) {
            validator.checkQueueWait();
        }
        return SchemaValidator.sorted(mProblems);
    }

    private <K extends NamedId, V> Map<K, V> entries(
            Section section,
            Function<String, K> id,
            EntryCache<V> cache,
            EntryCompiler<K, V> compiler) {
        Map<K, V> compiled = new LinkedHashMap<>();
        for (YamlEntry entry : mMerged.mapping(section.key()).entries().values()) {
            String path = section.key() + "." + entry.key();
            K key = id.apply(entry.key());
            EntryReader reader = new EntryReader(path, entry, mProblems);
            if (key instanceof RouteId route) {
                mRouteReaders.put(route, reader);
            }
            compiled.put(key, cache.get(entry, mProblems, () -> compiler.compile(key, reader)));
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
                reader.duration("queueWait", NO_MINIMUM, MAX_QUEUE_WAIT));
    }

    private ServiceConfig service(ServiceId id, EntryReader reader) {
        return new ServiceConfig(
                id,
                reader.integer("slots"),
                reader.integer("connections"),
                reader.duration("slowStart", NO_MINIMUM, MAX_DURATION),
                reader.text("probePath"),
                reader.duration("probePeriod", MIN_PROBE_PERIOD, MAX_DURATION));
    }

    private RouteConfig route(RouteId id, EntryReader reader) {
        return new RouteConfig(
                id,
                reader.text("host"),
                reader.text("path"),
                reader.texts("methods"),
                ServiceId.fromString(reader.text("service")),
                ClassId.fromString(reader.text("class")),
                PolicyId.fromString(reader.text("policy")),
                reader.bool("idempotent"),
                reader.duration("deadline", MIN_DEADLINE, MAX_DURATION));
    }

    /** Compiles one entry. */
    private interface EntryCompiler<K, V> {
        V compile(K key, EntryReader reader);
    }
}
