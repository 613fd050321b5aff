package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.NoOpHeartbeatListener;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.HeartbeatTimeout;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.eventloop.RetryDelay;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.scalein.MachineTerminations;
import org.ploverspindle.scalein.TerminationRecordWriter;
import org.ploverspindle.scalein.TerminationSender;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.LeaderWriter;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.TokenBucket;

/**
 * Guards against machines that are terminated without a durable record, used again after their
 * termination began, or never terminated. One leader runs against a simulated state service and a
 * stub of the cloud, either of which may leave requests without a response.
 */
class MachineTerminationsTest {
  private static final long RECORD_RETENTION_MS = 7_000;
  private static final long RESPONSE_MS = 200;
  private static final String EARLIER_RECORD = Keys.termination("1-1");

  private final SimClock clock = new SimClock();
  private final SimClock.Process process = clock.new Process(0, 1, 0);
  private final SimNetwork network = new SimNetwork(clock, new Random(1));
  private final SimStateStore state =
      new SimStateStore(clock, new Settings.StateLimits(1_000, 1_000, 8, 12));
  private final List<List<String>> requests = new ArrayList<>();
  private final List<Placement> lost = new ArrayList<>();
  private Replica replica;
  private MachineRegistry registry;
  private HeartbeatHandler handler;
  private MachineTerminations terminations;
  private boolean cloudAnswers = true;
  private boolean mayDecide = true;
  private Term term;

  @BeforeEach
  void startTerm() {
    state.preload(Keys.LEADER, Cbor.map().put("member", "n0"));
    StateStore store =
        new SimStateAccess(clock, new Random(2), network, state, false)
            .client(0, new SimLink(clock, network, 0, process));
    replica = new Replica(process, store, Keys.PREFIX, 700, new SplittableRandom(1));
    replica.start();
    clock.runUntil(RESPONSE_MS);
    term =
        new Term(
            2 * Term.TOKENS_PER_TERM,
            replica.get(Keys.LEADER).orElseThrow().modRevision(),
            clock.nowMs());
    Catalogue catalogue = new Catalogue(List.of("a"));
    Resources size = Resources.offered(4, 0, 16);
    catalogue.update(List.of(new MachineType("t", size, 40, 1, 1, 0.4, 30, List.of("a"))));
    TeamUsage teams = new TeamUsage(List.of(new Settings.Team("blue", 0, 0, 0, 0)));
    Settings.WorkerLimits workers = new Settings.WorkerLimits(3, 14, 39);
    registry = new MachineRegistry(catalogue, teams, SafetyTiming.of(workers, 1), term);
    handler = NoOpHeartbeatListener.heartbeatHandler(registry, term);
    TokenBucket unlimitedBudget = new TokenBucket(process, 1_000, 1_000);
    terminations =
        new MachineTerminations(
            process,
            registry,
            new HeartbeatTimeout(3, term.startMs(), term::startMs),
            new TerminationRecordWriter(
                new LeaderWriter(store, replica, unlimitedBudget, term),
                term.fencingToken(),
                8_192),
            new TerminationSender(
                process, this::terminate, () -> mayDecide, new RetryDelay(new Random(3), 700, 600)),
            RECORD_RETENTION_MS,
            lost::addAll);
    process.scheduleWithFixedDelay(1_000, () -> terminations.advance());
  }

  private void terminate(List<String> hosts, Consumer<Boolean> onResult) {
    requests.add(hosts);
    boolean answer = cloudAnswers;
    process.schedule(50, () -> onResult.accept(answer));
  }

  private Machine heartbeat(String host, int sequence) {
    Heartbeat heartbeat =
        new Heartbeat(
            host,
            "",
            "t",
            "a",
            true,
            1,
            sequence,
            term.fencingToken(),
            OptionalDouble.empty(),
            List.of());
    handler.handle(heartbeat, clock.nowMs());
    return registry.get(host).orElseThrow();
  }

  /**
   * Adds a placement that the records of an earlier term show on the machine. Its task saves a
   * checkpoint when it is stopped.
   */
  private Placement place(Machine machine) {
    return place(machine, Placement.Phase.RECOVERED);
  }

  private Placement place(Machine machine, Placement.Phase phase) {
    Job job =
        new Job(
            JobSpecFixtures.withCheckpoints(
                JobSpecFixtures.batch("run-1", "c", "blue", Priority.NORMAL, 1, 1, 0.1, 50, 0),
                5,
                2),
            0,
            8,
            0,
            new BitSet(),
            0,
            1);
    Placement placement = new Placement(job, 0, 9, machine, 1, phase);
    registry.addPlacement(placement);
    return placement;
  }

  private void run(long durationMs) {
    clock.runUntil(clock.nowMs() + durationMs);
  }

  private void inherit(String... hosts) {
    ObjectNode value = Cbor.map();
    List.of(hosts).forEach(value.putArray("hosts")::add);
    state.preload(EARLIER_RECORD, value);
    replica.readBarrier(read -> {});
    run(RESPONSE_MS);
    replica.withPrefix(Keys.TERMINATIONS).values().forEach(terminations::inheritTermination);
  }

  @Test
  void cloudIsAskedOnlyAfterRecordIsDurableAndRecordIsKeptAfterResponse() {
    Machine machine = heartbeat("i-1", 1);
    terminations.beginTermination(List.of(machine));
    assertTrue(
        machine.isTerminating() && !machine.isSchedulable(clock.nowMs(), 9_000),
        "unschedulable from the moment the record is sent");
    assertEquals(List.of(), requests);
    run(RESPONSE_MS);
    assertEquals(List.of(List.of("i-1")), requests);
    assertTrue(registry.wasTerminated("i-1"));
    run(RECORD_RETENTION_MS - 2 * RESPONSE_MS);
    assertEquals(
        1,
        state.keyCount(Keys.TERMINATIONS),
        "the record is kept while a list may still show the machine");
    run(4_000);
    assertEquals(0, state.keyCount(Keys.TERMINATIONS));
    assertEquals(1, requests.size());
  }

  @Test
  void unansweredRecordKeepsMachineUnschedulableAndSendsNothingWithoutLeadership() {
    Machine machine = heartbeat("i-1", 1);
    network.setUnansweredWrites(1, false);
    terminations.beginTermination(List.of(machine));
    network.setUnansweredWrites(0, false);
    mayDecide = false;
    run(20_000);
    assertEquals(
        1, state.keyCount(Keys.TERMINATIONS), "the unanswered transaction was executed late");
    assertTrue(machine.isTerminating());
    assertEquals(List.of(), requests, "nothing is sent to the cloud without certain leadership");
    mayDecide = true;
    run(3_000);
    assertEquals(List.of(List.of("i-1")), requests);
  }

  @Test
  void nothingIsSentWhileOutcomeOfRecordIsUnknown() {
    network.setUnansweredWrites(1, false);
    terminations.beginTermination(List.of(heartbeat("i-1", 1)));
    run(1_900);
    assertEquals(List.of(), requests);
    network.setUnansweredWrites(0, false);
    state.setOutage(true);
    run(60_000);
    assertEquals(List.of(), requests);
    assertTrue(terminations.isStalled());
    state.setOutage(false);
    run(3_000);
    assertEquals(List.of(List.of("i-1")), requests);
  }

  @Test
  void inheritedTerminationIsRepeatedUntilConfirmedAndMachinesAreNotAdoptedAgain() {
    cloudAnswers = false;
    inherit("i-1", "i-2");
    assertTrue(
        heartbeat("i-1", 1).isDecommissioning(),
        "a machine that was unknown when the record was inherited is decommissioning");
    run(10_000);
    assertTrue(
        requests.size() > 3,
        "requests until the cloud confirms, more than 3 expected: " + requests.size());
    assertTrue(terminations.summary().contains("inherited=2"), terminations.summary());
    cloudAnswers = true;
    run(3_000);
    assertTrue(registry.adopt("i-1", "t", "a", true, clock.nowMs()).isEmpty());
    assertTrue(registry.adopt("i-2", "t", "a", true, clock.nowMs()).isEmpty());
    run(RECORD_RETENTION_MS + 3_000);
    assertEquals(0, state.keyCount(Keys.TERMINATIONS));
  }

  /**
   * Guards against a launch on a machine that is being terminated: it was considered lost, and
   * sends a heartbeat after its termination began and before the cloud is asked.
   */
  @Test
  void heartbeatAfterTerminationBeganLaunchesNothing() {
    Placement placement = place(heartbeat("i-1", 1), Placement.Phase.READY);
    terminations.beginTermination(List.of(placement.machine()));
    Heartbeat repeatedHeartbeat =
        new Heartbeat(
            "i-1",
            "",
            "t",
            "a",
            true,
            1,
            2,
            term.fencingToken(),
            OptionalDouble.empty(),
            List.of());
    assertEquals(List.of(), handler.handle(repeatedHeartbeat, clock.nowMs()).commands());
    assertTrue(placement.machine().isEmpty(), "the placement that was never sent is removed");
    run(RESPONSE_MS);
    assertEquals(List.of(List.of("i-1")), requests);
  }

  /**
   * A version that does not know termination records may lead in between and place a task on a
   * machine that is to be terminated. The task may save a checkpoint first. A machine without
   * heartbeats is terminated at once.
   */
  @Test
  void machineWithTasksIsDrainedBeforeTerminationUnlessUnresponsive() {
    Placement placement = place(heartbeat("i-1", 1));
    inherit("i-1");
    run(2_000);
    assertEquals(List.of(), requests);
    assertTrue(
        placement.isStopping() && placement.gracePeriodS() > 2,
        "the task has time to save a checkpoint");
    registry.removePlacement(placement, clock.nowMs());
    run(2_000);
    assertEquals(List.of(List.of("i-1")), requests);

    Placement onUnresponsive = place(heartbeat("i-2", 1));
    run(8_000);
    terminations.beginTermination(List.of(onUnresponsive.machine()));
    run(2_000);
    assertEquals(List.of("i-2"), requests.get(1));
    assertEquals(List.of(onUnresponsive), lost);
  }

  /**
   * An unreadable record may name any machine of an earlier term, so that none of these gets tasks
   * for the time within which a delayed request may still be executed. The record is kept.
   */
  @Test
  void unreadableRecordQuarantinesMachinesOfEarlierTerms() {
    Machine ofEarlierTerm = heartbeat("i-1", 1);
    state.preload(EARLIER_RECORD, Cbor.map().put("hosts", "i-1"));
    replica.readBarrier(read -> {});
    run(RESPONSE_MS);
    replica.withPrefix(Keys.TERMINATIONS).values().forEach(terminations::inheritTermination);
    Machine ofThisTerm = heartbeat("i-9", 1);
    ofThisTerm.endQuarantine();
    assertFalse(ofEarlierTerm.isSchedulable(clock.nowMs(), 9_000));
    assertFalse(heartbeat("i-2", 1).isSchedulable(clock.nowMs(), 9_000));
    assertTrue(ofThisTerm.isSchedulable(clock.nowMs(), 9_000), "provisioned in this term");
    run(310_000);
    assertTrue(heartbeat("i-1", 2).isSchedulable(clock.nowMs(), 9_000));
    assertEquals(List.of(), requests);
    assertEquals(1, state.keyCount(Keys.TERMINATIONS));
  }

  @Test
  void recordsAboveLoweredLimitsAreSplitAndEachMachineIsTerminatedOnce() {
    List<Machine> machines =
        IntStream.range(0, 150).mapToObj(i -> heartbeat("i-" + (1_000 + i), 1)).toList();
    state.setLimits(new Settings.StateLimits(1_000, 1_000, 0.25, 12));
    terminations.beginTermination(machines);
    run(10_000);
    assertTrue(state.refusedAsTooLarge() > 0);
    assertEquals(150, requests.stream().mapToInt(List::size).sum());
    assertEquals(0, registry.all().size());
  }
}
