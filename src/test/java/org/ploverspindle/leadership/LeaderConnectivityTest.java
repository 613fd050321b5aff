package org.ploverspindle.leadership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.NoOpHeartbeatListener;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;
import org.ploverspindle.settings.Address;
import org.ploverspindle.settings.Settings;

/** A leader of 100 machines with heartbeats every three seconds: when it steps down. */
class LeaderConnectivityTest {
  private static final Term TERM = new Term(7, 1, 0);
  private static final int MACHINES = 100;

  private final Settings settings = settings();
  private final MachineRegistry machines;
  private final HeartbeatHandler heartbeatHandler;
  private LeaderConnectivity connectivity;
  private long sequence;
  private boolean listRead;

  LeaderConnectivityTest() {
    Catalogue catalogue = new Catalogue(List.of("a"));
    catalogue.update(
        List.of(
            new MachineType("t", Resources.offered(16, 0, 64), 40, 1, 1, 0.4, 30, List.of("a"))));
    machines =
        new MachineRegistry(
            catalogue,
            new TeamUsage(settings.teams()),
            SafetyTiming.of(settings.workers(), 1),
            TERM);
    heartbeatHandler = NoOpHeartbeatListener.heartbeatHandler(machines, TERM);
    connectivity = new LeaderConnectivity(machines, TERM, settings, () -> listRead, 0);
  }

  private static Settings settings() {
    Address nowhere = new Address("127.0.0.1", 1);
    return new Settings(
        "n0",
        "a",
        nowhere,
        nowhere,
        List.of(new Settings.Member("n1", "a", nowhere), new Settings.Member("n2", "a", nowhere)),
        nowhere,
        nowhere,
        List.of("a"),
        500,
        List.of(new Settings.Team("red", 0, 0, 0, 0)),
        List.of(),
        new Settings.WorkerLimits(3, 14, 39),
        new Settings.StateLimits(60, 20, 8, 12),
        new Settings.CloudLimits(6, 8),
        new Settings.Quota(1, 200, 500));
  }

  /** The heartbeat of one machine. */
  private void heartbeat(int machine, long fencingToken, long nowMs) {
    connectivity.recordHeartbeat(nowMs);
    heartbeatHandler.handle(
        new Heartbeat(
            "i-" + machine,
            "",
            "t",
            "a",
            true,
            1,
            ++sequence,
            fencingToken,
            OptionalDouble.empty(),
            List.of()),
        nowMs);
  }

  /** Checks every 390 ms; true if there was any reason to step down in that time. */
  private boolean stepsDown(long fromMs, long toMs, boolean reporting, long fencingToken) {
    boolean steppedDown = false;
    for (long nowMs = fromMs; nowMs < toMs; nowMs += 30) {
      if (reporting) {
        heartbeat((int) (nowMs / 30 % MACHINES), fencingToken, nowMs);
      }
      if (nowMs % 390 == 0) {
        steppedDown |= connectivity.reasonToStepDown(nowMs).isPresent();
      }
    }
    return steppedDown;
  }

  @Test
  void keepsLeadingWhileHeartbeatsArriveAndResponsesAreReceived() {
    assertFalse(stepsDown(0, 60_000, true, 7));
  }

  @Test
  void stepsDownBeforeAnyWorkerLeaseExpiresWhenAllMachinesFallSilent() {
    stepsDown(0, 30_000, true, 7);
    assertFalse(stepsDown(30_000, 33_000, false, 7));
    assertTrue(stepsDown(33_000, 36_000, false, 7));
  }

  @Test
  void stepsDownSoonerWhenSilentMachinesTryOtherControllers() {
    stepsDown(0, 30_000, true, 7);
    connectivity.misdirectedHeartbeats(31_500, 40);
    assertTrue(stepsDown(30_000, 32_500, false, 7));
  }

  @Test
  void fewMisdirectedHeartbeatsAloneAreNoReasonToStepDown() {
    stepsDown(0, 30_000, true, 7);
    connectivity.misdirectedHeartbeats(30_000, 40);
    assertFalse(stepsDown(30_000, 36_000, true, 7));
    connectivity.misdirectedHeartbeats(36_000, 70);
    assertTrue(
        stepsDown(36_000, 37_000, true, 7), "most of them had responses and try other controllers");
  }

  @Test
  void listensAgainAfterAPauseBeforeItCallsMachinesSilent() {
    stepsDown(0, 30_000, true, 7);
    connectivity.misdirectedHeartbeats(33_000, 300);
    // The process was paused, and has not read yet what arrived meanwhile.
    assertFalse(stepsDown(35_100, 38_000, false, 7));
    assertFalse(stepsDown(38_010, 60_000, true, 7));
  }

  /** Leaders that replace each other too soon would never prove machines gone that are gone. */
  @Test
  void waitsForTheProofOfSilenceWhereLeadershipIsUnstable() {
    for (int machine = 0; machine < MACHINES; machine++) {
      machines.adopt("i-" + machine, "t", "a", true, 0);
    }
    JobSpec spec =
        JobSpecFixtures.batch("run-1", "c", "red", Priority.NORMAL, MACHINES, 1, 1, 10, 0);
    Job job = new Job(spec, 0, MACHINES, 0, new BitSet(), -1, 1);
    for (Machine machine : List.copyOf(machines.all())) {
      int task = job.activePlacements().size();
      machines.addPlacement(
          new Placement(job, task, task + 1, machine, 1, Placement.Phase.RECOVERED));
    }
    assertTrue(stepsDown(0, 20_000, false, 7), "the first leaders step down soon");
    connectivity = new LeaderConnectivity(machines, TERM, settings, () -> listRead, 40_000);
    assertFalse(stepsDown(0, 39_000, false, 7));
    assertTrue(stepsDown(39_000, 42_000, false, 7));
  }

  @Test
  void stepsDownWhenNoMachineShowsItsToken() {
    assertTrue(stepsDown(0, 30_000, true, 3), "all heartbeats have an older token");
  }

  /** Six machines on which earlier leaders recorded tasks; none of them sends a heartbeat. */
  private void addMachinesKnownFromRecordsOnly() {
    JobSpec spec = JobSpecFixtures.batch("run-1", "c", "red", Priority.NORMAL, 6, 4, 1, 20, 0);
    Job job = new Job(spec, 0, 80, 0, new BitSet(), -1, 1);
    for (int index = 0; index < 6; index++) {
      Machine machine = machines.adopt("i-" + index, "t", "a", true, 0).orElseThrow();
      machines.addPlacement(
          new Placement(job, index, 100 + index, machine, 1, Placement.Phase.RECOVERED));
    }
  }

  @Test
  void doesNotWaitForMachinesThatOnlyRecordsMention() {
    addMachinesKnownFromRecordsOnly();
    listRead = true;
    assertFalse(stepsDown(0, 40_000, false, 7), "no other leader would hear them");
  }

  @Test
  void stepsDownForSilentMachinesThatAreListedOrMayBe() {
    addMachinesKnownFromRecordsOnly();
    assertTrue(stepsDown(0, 39_000, false, 7), "no list was read");
    listRead = true;
    machines.all().forEach(machine -> machine.listedAt(0));
    assertTrue(stepsDown(39_000, 78_000, false, 7));
  }

  @Test
  void lateHeartbeatsOfTerminatedMachinesAreNoSignOfLostResponses() {
    stepsDown(0, 30_000, true, 7);
    for (int index = 0; index < 10 * MACHINES; index++) {
      Machine terminated = machines.adopt("gone-" + index, "t", "a", true, 30_000).orElseThrow();
      machines.confirmTermination(terminated.host(), 30_000);
    }
    assertFalse(stepsDownWhileMisdirected(30_000, 60_000), "they are of terminated machines");
    assertTrue(stepsDownWhileMisdirected(120_000, 150_000), "no late heartbeats arrive any more");
  }

  private boolean stepsDownWhileMisdirected(long fromMs, long toMs) {
    boolean steppedDown = false;
    for (long nowMs = fromMs; nowMs < toMs; nowMs += 30) {
      heartbeat((int) (nowMs / 30 % MACHINES), 7, nowMs);
      if (nowMs % 120 == 0) {
        connectivity.misdirectedHeartbeats(nowMs, 2);
      }
      if (nowMs % 390 == 0) {
        steppedDown |= connectivity.reasonToStepDown(nowMs).isPresent();
      }
    }
    return steppedDown;
  }
}
