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

/** One leader's returns, step by step, beside a state service and a cloud that answer or do not. */
class MachineTerminationsTest {
  private static final long KEEP_MS = 7_000;
  private static final long SOON_MS = 200;
  private static final String EARLIER = Keys.termination("1-1");

  private final SimClock clock = new SimClock();
  private final SimClock.Process process = clock.new Process(0, 1, 0);
  private final SimNetwork network = new SimNetwork(clock, new Random(1));
  private final SimStateStore state =
      new SimStateStore(clock, new Settings.StateLimits(1_000, 1_000, 8, 12));
  private final List<List<String>> requests = new ArrayList<>();
  private final List<Placement> lost = new ArrayList<>();
  private Replica replica;
  private MachineRegistry fleet;
  private HeartbeatHandler handler;
  private MachineTerminations returns;
  private boolean cloudAnswers = true;
  private boolean mayDecide = true;
  private Term term;

  @BeforeEach
  void lead() {
    state.preload(Keys.LEADER, Cbor.map().put("member", "n0"));
    StateStore store =
        new SimStateAccess(clock, new Random(2), network, state, false)
            .client(0, new SimLink(clock, network, 0, process));
    replica = new Replica(process, store, Keys.PREFIX, 700);
    replica.start();
    clock.runUntil(SOON_MS);
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
    fleet = new MachineRegistry(catalogue, teams, SafetyTiming.of(workers, 1), term);
    handler = NoOpHeartbeatListener.heartbeatHandler(fleet, term);
    TokenBucket plenty = new TokenBucket(process, 1_000, 1_000);
    returns =
        new MachineTerminations(
            process,
            fleet,
            new HeartbeatTimeout(3, term.startMs(), term::startMs),
            new TerminationRecordWriter(
                new LeaderWriter(store, replica, plenty, term), term.fencingToken(), 8_192),
            new TerminationSender(
                process, this::release, () -> mayDecide, new RetryDelay(new Random(3), 700, 600)),
            KEEP_MS,
            lost::addAll);
    process.scheduleWithFixedDelay(1_000, () -> returns.advance());
  }

  private void release(List<String> hosts, Consumer<Boolean> then) {
    requests.add(hosts);
    boolean answer = cloudAnswers;
    process.schedule(50, () -> then.accept(answer));
  }

  private Machine report(String host, int tally) {
    Heartbeat report =
        new Heartbeat(
            host,
            "",
            "t",
            "a",
            true,
            1,
            tally,
            term.fencingToken(),
            OptionalDouble.empty(),
            List.of());
    handler.handle(report, clock.nowMs());
    return fleet.get(host).orElseThrow();
  }

  /** A task that is recorded on the machine, and saves its progress when it is told to stop. */
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
    fleet.addPlacement(placement);
    return placement;
  }

  private void run(long forMs) {
    clock.runUntil(clock.nowMs() + forMs);
  }

  private void inherit(String... hosts) {
    ObjectNode value = Cbor.map();
    List.of(hosts).forEach(value.putArray("hosts")::add);
    state.preload(EARLIER, value);
    replica.readBarrier(read -> {});
    run(SOON_MS);
    replica.withPrefix(Keys.TERMINATIONS).values().forEach(returns::inheritTermination);
  }

  @Test
  void theCloudIsAskedOnceTheRecordStandsAndTheRecordOutlivesTheAnswer() {
    Machine machine = report("i-1", 1);
    returns.beginTermination(List.of(machine));
    assertTrue(
        machine.isTerminating() && !machine.isSchedulable(clock.nowMs(), 9_000),
        "from the sending on");
    assertEquals(List.of(), requests);
    run(SOON_MS);
    assertEquals(List.of(List.of("i-1")), requests);
    assertTrue(fleet.wasTerminated("i-1"));
    run(KEEP_MS - 2 * SOON_MS);
    assertEquals(1, state.keyCount(Keys.TERMINATIONS), "a list may still show the machine");
    run(4_000);
    assertEquals(0, state.keyCount(Keys.TERMINATIONS));
    assertEquals(1, requests.size());
  }

  @Test
  void aRecordWithoutAnAnswerKeepsTheMachineOutOfWorkAndTheCloudUnasked() {
    Machine machine = report("i-1", 1);
    network.setUnansweredWrites(1, false);
    returns.beginTermination(List.of(machine));
    network.setUnansweredWrites(0, false);
    mayDecide = false;
    run(20_000);
    assertEquals(1, state.keyCount(Keys.TERMINATIONS), "it was carried out late");
    assertTrue(machine.isTerminating());
    assertEquals(List.of(), requests, "nothing is sent without a sure lead");
    mayDecide = true;
    run(3_000);
    assertEquals(List.of(List.of("i-1")), requests);
  }

  @Test
  void nothingIsSentWhileItIsNotKnownWhetherTheRecordStands() {
    network.setUnansweredWrites(1, false);
    returns.beginTermination(List.of(report("i-1", 1)));
    run(1_900);
    assertEquals(List.of(), requests);
    network.setUnansweredWrites(0, false);
    state.setOutage(true);
    run(60_000);
    assertEquals(List.of(), requests);
    assertTrue(returns.isStalled());
    state.setOutage(false);
    run(3_000);
    assertEquals(List.of(List.of("i-1")), requests);
  }

  @Test
  void aSuccessorCompletesTheReturnAndNoListBringsTheMachineBack() {
    cloudAnswers = false;
    inherit("i-1", "i-2");
    assertTrue(report("i-1", 1).isDecommissioning(), "also one that was not known before");
    run(10_000);
    assertTrue(requests.size() > 3, "repeated until it is answered: " + requests.size());
    assertTrue(returns.summary().contains("inherited=2"), returns.summary());
    cloudAnswers = true;
    run(3_000);
    assertTrue(fleet.adopt("i-1", "t", "a", true, clock.nowMs()).isEmpty());
    assertTrue(fleet.adopt("i-2", "t", "a", true, clock.nowMs()).isEmpty());
    run(KEEP_MS + 3_000);
    assertEquals(0, state.keyCount(Keys.TERMINATIONS));
  }

  /** It was taken for gone, and reports again between the record and the release. */
  @Test
  void nothingIsLaunchedOnAMachineThatReportsAgainAfterItsReturnBegan() {
    Placement placement = place(report("i-1", 1), Placement.Phase.READY);
    returns.beginTermination(List.of(placement.machine()));
    Heartbeat again =
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
    assertEquals(List.of(), handler.handle(again, clock.nowMs()).commands());
    assertTrue(placement.machine().isEmpty(), "it was never sent");
    run(SOON_MS);
    assertEquals(List.of(List.of("i-1")), requests);
  }

  /** A version that does not know the records led in between and placed a task. */
  @Test
  void aMachineWithTasksIsDrainedFirstAndGoesAtOnceWhenItIsSilent() {
    Placement placement = place(report("i-1", 1));
    inherit("i-1");
    run(2_000);
    assertEquals(List.of(), requests);
    assertTrue(placement.isStopping() && placement.gracePeriodS() > 2, "it saves first");
    fleet.removePlacement(placement, clock.nowMs());
    run(2_000);
    assertEquals(List.of(List.of("i-1")), requests);

    Placement onSilent = place(report("i-2", 1));
    run(8_000);
    returns.beginTermination(List.of(onSilent.machine()));
    run(2_000);
    assertEquals(List.of("i-2"), requests.get(1));
    assertEquals(List.of(onSilent), lost);
  }

  /** Nothing is placed by guess on machines that it may name, and it is left as it is. */
  @Test
  void aRecordThatCantBeReadKeepsMachinesOfEarlierTermsOutOfWorkForAWhile() {
    Machine before = report("i-1", 1);
    state.preload(EARLIER, Cbor.map().put("hosts", "i-1"));
    replica.readBarrier(read -> {});
    run(SOON_MS);
    replica.withPrefix(Keys.TERMINATIONS).values().forEach(returns::inheritTermination);
    Machine ours = report("i-9", 1);
    ours.endQuarantine();
    assertFalse(before.isSchedulable(clock.nowMs(), 9_000));
    assertFalse(report("i-2", 1).isSchedulable(clock.nowMs(), 9_000));
    assertTrue(ours.isSchedulable(clock.nowMs(), 9_000), "rented in this term");
    run(310_000);
    assertTrue(report("i-1", 2).isSchedulable(clock.nowMs(), 9_000));
    assertEquals(List.of(), requests);
    assertEquals(1, state.keyCount(Keys.TERMINATIONS));
  }

  @Test
  void recordsBeyondLimitsThatFellAreHalvedAndEveryMachineGoesOnce() {
    List<Machine> machines =
        IntStream.range(0, 150).mapToObj(i -> report("i-" + (1_000 + i), 1)).toList();
    state.setLimits(new Settings.StateLimits(1_000, 1_000, 0.25, 12));
    returns.beginTermination(machines);
    run(10_000);
    assertTrue(state.refusedAsTooLarge() > 0);
    assertEquals(150, requests.stream().mapToInt(List::size).sum());
    assertEquals(0, fleet.all().size());
  }
}
