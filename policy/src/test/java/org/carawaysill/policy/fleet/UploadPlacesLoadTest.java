package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Body;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Uploads of tens of kilobytes to copies in three availability zones: how many of their bytes move, and where to, with
 * and without places for bodies on the same seeds.
 */
class UploadPlacesLoadTest {

    private static final long MILLI = VirtualFleet.MILLI;
    private static final long SECOND = 1000 * MILLI;
    private static final long SETTLED = 4 * SECOND;
    private static final int ZONES = 3;
    private static final int COPIES = 2;
    private static final int SLOTS = 4;
    private static final long WORK = 80 * MILLI;
    private static final int BODY_BYTES = 60_000;
    private static final double SECONDS = 20;
    private static final long AIM = 500 * MILLI;

    /** The requests per second that all copies together can do. */
    private static final double FITS = ZONES * COPIES * SLOTS * (double) SECOND / WORK;

    private static final String UPLOAD = "/upload/";

    /** What became of the uploads of one run. */
    private static final class Result {

        int offered;
        int good;
        int inAim;
        double bytes;
        double bytesAcrossZones;
        /** The bodies that were sent to another node and did not run there. */
        long wasted;

        List<VirtualFleet.Run> runs = List.of();

        double inAimPart() {
            return inAim / (double) offered;
        }

        double crossingPart() {
            return bytesAcrossZones / (offered * (double) BODY_BYTES);
        }

        @Override
        public String toString() {
            return "offered " + offered + " good " + good + " in aim " + inAimPart() + " crossing " + crossingPart()
                    + " wasted " + wasted;
        }
    }

    private static Result play(long seed, Set<Mechanism> disabled, double load, double firstZonePart) {
        return play(seed, disabled, load, firstZonePart, true);
    }

    private static Result play(long seed, Set<Mechanism> disabled, double load, double firstZonePart, boolean uploads) {
        VirtualFleet fleet = new VirtualFleet(seed, disabled);
        Route route = Routes.route(UPLOAD, "media", false, 1, 1500, AIM / MILLI);
        fleet.configure(uploads ? Routes.upload(route) : route);
        fleet.bodies.put(UPLOAD, Body.wrap(new byte[BODY_BYTES]));
        List<List<VirtualNode>> entries = new ArrayList<>();
        for (int zone = 0; zone < ZONES; zone++) {
            List<VirtualNode> there = new ArrayList<>();
            for (int i = 1; i <= COPIES; i++) {
                VirtualNode copy = fleet.add("media", "10." + zone + ".1." + i, "zone-" + zone, SLOTS);
                copy.works.put(UPLOAD, new Work(WORK, 0.5, List.of()));
                there.add(copy);
                there.add(fleet.add("front", "10." + zone + ".2." + i, "zone-" + zone, 4));
            }
            entries.add(there);
        }
        fleet.runUntil(SETTLED);
        SplittableRandom random = new SplittableRandom(seed + 1);
        Result result = new Result();
        Map<String, NodeName> entryOf = new HashMap<>();
        for (double at = 0; at < SECONDS; at -= Math.log(1 - random.nextDouble()) / (load * FITS)) {
            boolean first = random.nextDouble() < firstZonePart;
            List<VirtualNode> zone = entries.get(first ? 0 : random.nextInt(ZONES));
            VirtualNode entry = zone.get(random.nextInt(zone.size()));
            String name = "u" + result.offered++;
            entryOf.put(name, entry.name);
            long start = SETTLED + (long) (at * SECOND);
            fleet.at(
                    start,
                    () -> fleet.send(entry, name, UPLOAD, 2 * SECOND, (when, outcome) -> {
                        result.good += Outcomes.isGood(outcome) ? 1 : 0;
                        result.inAim += Outcomes.isGood(outcome) && when - start <= AIM ? 1 : 0;
                    }));
        }
        fleet.runUntil(SETTLED + (long) ((SECONDS + 4) * SECOND));
        result.runs = fleet.runs;
        result.bytes = fleet.bodyBytes;
        result.bytesAcrossZones = fleet.bodyBytesAcrossZones;
        long runsElsewhere = fleet.runs.stream()
                .filter(run -> !run.copy().startsWith(entryOf.get(run.requestName()) + "#"))
                .count();
        result.wasted = fleet.bodyBytes / BODY_BYTES - runsElsewhere;
        return result;
    }

    private static Result without(long seed, double load, double firstZonePart) {
        return play(seed, Set.of(Mechanism.BODY_PLACES), load, firstZonePart);
    }

    /*
     * Uploads with room in each zone: guards against bodies that cross zones by chance, since only the small answers
     * of uploads counted in the choice of a copy.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void mostBytesStayInTheirZoneWhileItHasRoom(long seed) {
        Result with = play(seed, Set.of(), 0.65, 0);
        Result without = without(seed, 0.65, 0);
        String figures = "with " + with + ", without " + without;
        assertTrue(with.crossingPart() <= 0.1, figures);
        assertTrue(without.crossingPart() >= 0.35, figures);
        assertTrue(with.inAimPart() >= 0.995, figures);
    }

    /*
     * More than a zone can do enters there, less elsewhere: guards against uploads that wait for a near copy for
     * longer than a crossing takes.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aBusyZoneSendsUploadsElsewhereInTime(long seed) {
        Result with = play(seed, Set.of(), 0.65, 0.4);
        assertTrue(with.crossingPart() <= 0.25, with.toString());
        assertTrue(with.inAimPart() >= 0.99, with.toString());
    }

    /*
     * More uploads than the copies can do: guards against bodies that move for attempts that are refused or evicted.
     * The slots that are held meanwhile cost hardly any upload.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void fullCopiesGetNoBodiesForNothing(long seed) {
        Result with = play(seed, Set.of(), 1.5, 0);
        Result without = without(seed, 1.5, 0);
        String figures = "with " + with + ", without " + without;
        assertEquals(0, with.wasted, figures);
        assertTrue(without.wasted >= 0.1 * without.good, figures);
        assertTrue(with.good >= 0.97 * without.good, figures);
    }

    // Guards against changed decisions where no route uploads, whatever the bodies.
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void withoutRoutesForUploadsNothingChanges(long seed) {
        Result with = play(seed, Set.of(), 1.2, 0.2, false);
        Result without = play(seed, Set.of(Mechanism.BODY_PLACES), 1.2, 0.2, false);
        assertEquals(without.runs, with.runs);
        assertEquals(without.bytes, with.bytes);
    }
}
