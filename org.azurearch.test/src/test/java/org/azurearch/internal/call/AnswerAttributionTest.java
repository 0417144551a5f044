package org.azurearch.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.azurearch.internal.call.AnswerAttribution.Owner;

/** Guards against copies of earlier answers that are taken for the answer to a later request. */
class AnswerAttributionTest {
    /** A copy of an earlier answer, with or without its id. */
    private record Copy(int of, boolean named) {}

    /** A request, the copies that precede its answer, and whether that is a refusal. */
    private record Step(int id, boolean refused, List<Copy> copies) {}

    private record Answer(String id, boolean refused) {}

    @Property(tries = 2_000, seed = "20261205")
    void copyIsNeverAttributedToRequestWhoseCallerUsesIdsAgain(@ForAll("steps") List<Step> steps) {
        AnswerAttribution attribution = AnswerAttribution.byCallerIds();
        List<Answer> written = new ArrayList<>();
        Set<String> answered = new HashSet<>();
        for (int i = 0; i < steps.size(); i++) {
            Step step = steps.get(i);
            String id = answered.contains("r" + step.id()) ? "u" + i : "r" + step.id();
            if (!attribution.reusable() || !attribution.mayCarry(id)) {
                attribution = AnswerAttribution.byCallerIds();
                written.clear();
            }
            attribution.sent(id);
            assertNoCopyIsPending(attribution, step, written);
            attribution.owner(List.of(id), step.refused());
            written.add(new Answer(id, step.refused()));
            if (!step.refused()) {
                answered.add(id);
            }
        }
    }

    @Property(tries = 2_000, seed = "20261205")
    void copyIsNeverAttributedToRequestOfServerThatNamesIds(@ForAll("steps") List<Step> steps) {
        AnswerAttribution attribution = AnswerAttribution.byUniqueIds();
        List<Answer> written = new ArrayList<>();
        for (int i = 0; i < steps.size() && attribution.reusable(); i++) {
            attribution.sent("u" + i);
            assertNoCopyIsPending(attribution, steps.get(i), written);
            attribution.owner(List.of("u" + i), steps.get(i).refused());
            written.add(new Answer("u" + i, steps.get(i).refused()));
        }
    }

    @Property(tries = 2_000, seed = "20261205")
    void copyOfRefusalIsNeverAttributedThoughTheServerNamesNoIds(
            @ForAll("steps") List<Step> steps) {
        AnswerAttribution attribution = AnswerAttribution.byUniqueIds();
        boolean refused = false;
        for (int i = 0; i < steps.size() && attribution.reusable(); i++) {
            attribution.sent("u" + i);
            if (refused && !steps.get(i).copies().isEmpty()) {
                assertEquals(Owner.UNKNOWN, attribution.owner(List.of(), true));
            } else {
                attribution.owner(List.of(), steps.get(i).refused());
                refused |= steps.get(i).refused();
            }
        }
    }

    @Example
    void refusalOnFreshConnectionIsCertainWithoutAnId() {
        AnswerAttribution attribution = AnswerAttribution.byUniqueIds();
        attribution.sent("1");
        assertEquals(Owner.PENDING, attribution.owner(List.of(), true));
        assertTrue(attribution.reusable());
    }

    @Example
    void answerThatNamesTwoIdsBelongsToNoRequest() {
        AnswerAttribution attribution = AnswerAttribution.byCallerIds();
        attribution.sent("1");
        assertEquals(Owner.UNKNOWN, attribution.owner(List.of("1", "2"), false));
        assertFalse(attribution.reusable());
    }

    @Example
    void answerWithoutAnIdBehindAnAnswerToAnotherRequestIsUncertain() {
        AnswerAttribution attribution = AnswerAttribution.byCallerIds();
        attribution.sent("1");
        assertEquals(Owner.OTHER, attribution.owner(List.of("x"), true));
        assertEquals(Owner.UNKNOWN, attribution.owner(List.of(), true));
    }

    @Example
    void requestWithoutAnIdIsCarriedByFreshConnectionOnly() {
        AnswerAttribution attribution = AnswerAttribution.byCallerIds();
        assertTrue(attribution.mayCarry(null));
        attribution.sent("1");
        assertEquals(Owner.PENDING, attribution.owner(List.of("1"), false));
        assertFalse(attribution.mayCarry(null));
        assertTrue(attribution.mayCarry("2"));
    }

    private static void assertNoCopyIsPending(
            AnswerAttribution attribution, Step step, List<Answer> written) {
        for (Copy copy : step.copies()) {
            if (!written.isEmpty()) {
                Answer earlier = written.get(copy.of() % written.size());
                List<String> ids = copy.named() ? List.of(earlier.id()) : List.of();
                Owner owner = attribution.owner(ids, earlier.refused());
                assertTrue(owner != Owner.PENDING, "copy of " + earlier);
                assertFalse(attribution.reusable());
            }
        }
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Copy> copy =
                Combinators.combine(
                                Arbitraries.integers().between(0, 3), Arbitraries.of(true, false))
                        .as(Copy::new);
        return Combinators.combine(
                        Arbitraries.integers().between(0, 1),
                        Arbitraries.of(true, false),
                        copy.list().ofMaxSize(1))
                .as(Step::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(8);
    }
}
