package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.ploverspindle.model.Priority;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Transaction;

/**
 * Three controllers return machines between waves of work, and whoever leads is paused past its
 * lease, or ended, at a named step of a return. Work comes while it is away, so that its successor
 * looks for room; then what the former leader had sent, or still sends, arrives.
 */
class TerminationFaultsTest {
  private static final int NODES = 3;
  private static final int MACHINES = 10;
  private static final int WAVES = 10;
  private static final long WAVE_MS = 70_000;
  private static final long PAUSE_MS = 9_000;
  private static final long CLOCK_JUMP_MS = 30_000;

  /** Where in a return its leader is disturbed. */
  enum Step {
    /** The record stands and its answer has not been taken. */
    PAUSED_BEFORE_SEND,
    /** The release has left the leader, which is sure of its lead then, and arrives much later. */
    PAUSED_AFTER_SEND,
    /** The release was executed and its answer has not been taken. */
    PAUSED_BEFORE_ANSWER,
    /** The record stands, and the process ends and is back within a second. */
    ENDED_BEFORE_SEND,
    /**
     * The record gets no answer and is carried out late; its leader is paused after reading back.
     */
    RECORDED_LATE,
    /**
     * The record stands; the leader's clock jumps back, so that it believes in a lease that ends.
     */
    CLOCK_BACK
  }

  /** A day of waves, with a fault at some of the returns. */
  private static final class Day {
    final SimulatedCluster cluster;
    final Map<Step, Integer> faults = new EnumMap<>(Step.class);
    private final Random random;
    private final List<Step> steps;
    private long quietUntilMs = 20_000;

    Day(long seed, List<Step> steps) {
      this.cluster = new SimulatedCluster(seed, NODES, MACHINES, List.of("a"));
      this.random = new Random(seed);
      this.steps = steps;
      cluster.cloud.stopBootFailures();
      for (int wave = 0; wave < WAVES; wave++) {
        cluster.clock.after(3_000 + wave * WAVE_MS, () -> submit(6));
      }
      cluster.onTransactionSent(this::sent);
      cluster.state.onWrite(this::written);
      cluster.terminations.whenExecuted(this::released);
    }

    private void submit(int jobs) {
      for (int i = 0; i < jobs; i++) {
        cluster.submitAndPoll(DayEndCriteriaTest.job(cluster, "wave", Priority.NORMAL, 3, 4, 4, 0));
      }
    }

    /** The next fault, if there was none for a while. */
    private Optional<Step> next() {
      if (cluster.clock.nowMs() < quietUntilMs || cluster.clock.nowMs() > WAVES * WAVE_MS) {
        return Optional.empty();
      }
      return Optional.of(steps.get(random.nextInt(steps.size())));
    }

    private void happens(Step step) {
      quietUntilMs = cluster.clock.nowMs() + PAUSE_MS * 3 / 2;
      faults.merge(step, 1, Integer::sum);
      // The successor leads by then, and would use whatever machine it takes for its own.
      cluster.clock.after(PAUSE_MS / 2, () -> submit(8));
    }

    private static boolean isReturn(Transaction txn) {
      return txn.changes().stream()
          .anyMatch(c -> c instanceof Change.Put && c.key().startsWith(Keys.TERMINATIONS));
    }

    private void sent(Transaction txn) {
      int leader = cluster.leader();
      if (!isReturn(txn) || leader < 0 || !next().equals(Optional.of(Step.RECORDED_LATE))) {
        return;
      }
      happens(Step.RECORDED_LATE);
      holdCloud(leader);
      cluster.network.setUnansweredWrites(1, false);
      cluster.clock.after(1, () -> cluster.network.setUnansweredWrites(0, false));
      cluster.clock.after(3_000, () -> cluster.freeze(leader, PAUSE_MS - 3_000));
    }

    private void written(Transaction txn) {
      int leader = cluster.leader();
      Optional<Step> step = isReturn(txn) && leader >= 0 ? next() : Optional.empty();
      if (step.isEmpty()
          || step.get() == Step.PAUSED_BEFORE_ANSWER
          || step.get() == Step.RECORDED_LATE) {
        return;
      }
      happens(step.get());
      switch (step.get()) {
        case PAUSED_AFTER_SEND -> {
          holdCloud(leader);
          cluster.clock.after(500, () -> cluster.freeze(leader, PAUSE_MS - 500));
        }
        case CLOCK_BACK -> {
          holdCloud(leader);
          cluster.clock.after(100, () -> turnClockBack(leader));
        }
        case ENDED_BEFORE_SEND -> cluster.crash(leader, 600);
        default -> cluster.freeze(leader, PAUSE_MS);
      }
    }

    private void holdCloud(int node) {
      hold(node, SimulatedCluster.CLOUD);
    }

    /** It hears nothing of its lease from now on, and counts on it for longer than it lasts. */
    private void turnClockBack(int node) {
      cluster.process(node).jumpClock(-CLOCK_JUMP_MS);
      hold(node, SimulatedCluster.STATE);
    }

    /** What goes between the two is held back, and delivered after the pause. */
    private void hold(int node, String other) {
      String name = SimLink.controllerName(node);
      cluster.network.holdPackets(name, other, true);
      cluster.clock.after(PAUSE_MS, () -> cluster.network.holdPackets(name, other, false));
    }

    private void released(TerminationHistory.Release release) {
      Optional<Step> step = next();
      if (step.equals(Optional.of(Step.PAUSED_BEFORE_ANSWER)) && !release.stale()) {
        happens(step.get());
        cluster.freeze(cluster.leader(), PAUSE_MS);
      }
    }

    Day play() {
      long endMs = WAVES * WAVE_MS + 40_000;
      cluster.clock.runUntil(endMs);
      cluster.faultsEnded();
      cluster.clock.runUntil(endMs + 110_000);
      cluster.checker.endOfDay();
      return this;
    }

    int faultCount() {
      return faults.values().stream().mapToInt(Integer::intValue).sum();
    }
  }

  private static void assertKept(Day day, String what) {
    SimulatedCluster cluster = day.cluster;
    assertEquals(List.of(), cluster.terminations.withTasks(), what);
    assertEquals(List.of(), cluster.checker.broken(), what);
    assertEquals(0, cluster.checker.neverBegun(), what);
    assertEquals(
        0, cluster.cloud.machineCount(), what + ": machines that are idle and not returned");
    assertEquals(0, cluster.state.keyCount(Keys.TERMINATIONS), what + ": records that are left");
  }

  @ParameterizedTest
  @EnumSource(Step.class)
  void noMachineWithTasksIsReturnedByWhoeverWasDisturbedAtThisStep(Step step) {
    int stale = 0;
    for (long seed = 1; seed <= 4; seed++) {
      Day day = new Day(seed, List.of(step)).play();
      String what = step + ", seed " + seed + ": " + day.faults;
      assertKept(day, what);
      assertTrue(day.faultCount() >= 3, what);
      assertTrue(day.cluster.termCount() > 3, what + " " + day.cluster.termCount() + " terms");
      stale += day.cluster.terminations.stale().size();
    }
    if (step == Step.PAUSED_AFTER_SEND || step == Step.CLOCK_BACK) {
      assertTrue(stale >= 4, stale + " requests of former leaders were executed");
    }
  }

  /** Successors are disturbed in turn, while answers of the state service are lost. */
  @ParameterizedTest
  @CsvSource({"11", "12", "13", "14", "15", "16", "17", "18"})
  void stepsAndLostAnswersMixed(long seed) {
    Day day = new Day(seed, List.of(Step.values()));
    day.cluster.network.setUnansweredWrites(0.1, seed % 2 == 0);
    day.cluster.clock.after(
        WAVES * WAVE_MS, () -> day.cluster.network.setUnansweredWrites(0, false));
    day.play();
    assertKept(day, "seed " + seed + ": " + day.faults);
    assertTrue(day.faultCount() >= 3, "seed " + seed + ": " + day.faults);
  }

  /** The counter counts: without the records a former leader ends machines that have work. */
  @Test
  void withoutRecordsMachinesWithTasksAreReturnedAndCounted() {
    int withTasks = 0;
    for (long seed = 1; seed <= 4; seed++) {
      Day day = new Day(seed, List.of(Step.PAUSED_AFTER_SEND));
      day.cluster.state.loseWritesUnder(Keys.TERMINATIONS);
      withTasks += day.play().cluster.terminations.withTasks().size();
    }
    assertTrue(withTasks > 0, "a counter that never counts shows nothing");
  }
}
