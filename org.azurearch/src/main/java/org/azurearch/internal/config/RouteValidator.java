package org.azurearch.internal.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.config.PolicyConfig;
import org.azurearch.config.RouteConfig;
import org.azurearch.config.SiteConfig;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.SourceLocation;
import org.azurearch.lib.NamedId;
import org.azurearch.lib.RouteId;
import org.azurearch.yaml.NameSuggester;

/** Validates the routes of a configuration against its other parts. */
final class RouteValidator {
    private final SiteConfig mConfig;
    private final Map<RouteId, EntryReader> mReaders;

    /**
     * Creates a validator.
     *
     * @param config the configuration to validate
     * @param readers the reader of each route, in the order of validation
     */
    RouteValidator(SiteConfig config, Map<RouteId, EntryReader> readers) {
        mConfig = config;
        mReaders = readers;
    }

    /** Reports routes that refer to a service, class or policy that the version lacks. */
    void checkReferences() {
        mReaders.forEach(
                (id, reader) -> {
                    RouteConfig route = route(id);
                    checkReference(reader, "service", route.service(), mConfig.services().keySet());
                    checkReference(reader, "class", route.callClass(), mConfig.classes().keySet());
                    checkReference(reader, "policy", route.policy(), mConfig.policies().keySet());
                });
    }

    /** Reports routes that match the same calls as another route. */
    void checkAmbiguity() {
        Map<String, List<RouteConfig>> byPath = new HashMap<>();
        mReaders.forEach(
                (id, reader) -> {
                    RouteConfig route = route(id);
                    List<RouteConfig> others =
                            byPath.computeIfAbsent(
                                    route.host() + route.pathPrefix(), key -> new ArrayList<>());
                    others.stream()
                            .filter(other -> methodsOverlap(other, route))
                            .findFirst()
                            .ifPresent(other -> addAmbiguity(reader, route, other));
                    others.add(route);
                });
    }

    /** Reports routes whose policy lets a call wait in the queue for its whole deadline. */
    void checkQueueWait() {
        mReaders.forEach(
                (id, reader) -> {
                    RouteConfig route = route(id);
                    PolicyConfig policy = mConfig.policies().get(route.policy());
                    if (policy != null && policy.queueWait().compareTo(route.deadline()) >= 0) {
                        reader.addProblem(
                                ErrorCode.OUT_OF_RANGE,
                                "deadline",
                                "the deadline of route '"
                                        + id
                                        + "' is not longer than the queueWait of policy '"
                                        + policy.id()
                                        + "'");
                    }
                });
    }

    private RouteConfig route(RouteId id) {
        RouteConfig route = mConfig.routes().get(id);
        if (route == null) {
            throw new IllegalStateException("route " + id + " was read but not compiled");
        }
        return route;
    }

    private static void checkReference(
            EntryReader reader,
            String field,
            NamedId target,
            Collection<? extends NamedId> defined) {
        if (defined.contains(target) || !reader.has(field)) {
            return;
        }
        List<String> names = defined.stream().map(NamedId::name).toList();
        String hint =
                NameSuggester.suggest(target.name(), names)
                        .map(suggestion -> "; did you mean '" + suggestion + "'?")
                        .orElse("");
        reader.addProblem(
                ErrorCode.DANGLING_REFERENCE,
                field,
                field + " '" + target + "' is not in this version" + hint);
    }

    private static boolean methodsOverlap(RouteConfig left, RouteConfig right) {
        return left.methods().isEmpty()
                || right.methods().isEmpty()
                || !Collections.disjoint(left.methods(), right.methods());
    }

    private void addAmbiguity(EntryReader reader, RouteConfig route, RouteConfig other) {
        EntryReader otherReader = mReaders.get(other.id());
        SourceLocation first =
                otherReader == null ? reader.locationOf("path") : otherReader.locationOf("path");
        reader.addProblem(
                ErrorCode.AMBIGUOUS_ROUTE,
                "path",
                "routes '"
                        + other.id()
                        + "' ("
                        + first
                        + ") and '"
                        + route.id()
                        + "' match the same calls");
    }
}
