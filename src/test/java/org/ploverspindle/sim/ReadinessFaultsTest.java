package org.ploverspindle.sim;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.ploverspindle.JobSpecBuilder;
import org.ploverspindle.model.JobKind;
import org.slf4j.LoggerFactory;

/**
 * Guards against users whose polls fail for 90 s at a controller that stays ready although it is
 * cut off, while the others answer; and against a load balancer without a controller when all of
 * them lose the state service and each other.
 */
class ReadinessFaultsTest extends FaultScenarioTest {
  private static final int USERS = 12;
  private static final long FAULT_MS = 40_000;
  private static final long MAX_GAP_MS = 90_000;
  private static final long MAX_GAP_AFTER_FAULTS_MS = 75_000;

  /** Stands for the controller that leads when a fault begins. */
  private static final int LEADER = -1;

  /** Simulated length of the random days; 600 in a long run by hand. */
  private static final int SOAK_MINUTES = Integer.getInteger("soak.minutes", 20);

  private static final int FOR_GOOD_MS = 3_000_000;

  /** What users and the load balancer must see while the faults last. */
  private enum Target {
    /** Another controller can answer, so every user is answered. */
    USERS_ANSWERED,
    /** No controller can answer, and the load balancer always has one. */
    NEVER_EMPTY,
    /** No controller can answer, and no controller is removed. */
    ALL_READY,
    /** Nothing but what holds after the faults. */
    RECOVERS
  }

  private enum Combinations implements FaultScenario.Combination {
    LEADER_CUT(3, Target.USERS_ANSWERED, day -> day.cutLeader(98)),
    LEADER_CUT_AGAIN_AND_AGAIN(3, Target.USERS_ANSWERED, day -> day.cutRepeatedly(LEADER)),
    FIRST_CUT_AGAIN_AND_AGAIN(3, Target.USERS_ANSWERED, day -> day.cutRepeatedly(0)),
    LAST_CUT_AGAIN_AND_AGAIN(3, Target.USERS_ANSWERED, day -> day.cutRepeatedly(2)),
    TWO_OF_FIVE_CUT_TOGETHER(5, Target.USERS_ANSWERED, day -> day.cutRepeatedly(0, 1)),
    LAST_TWO_OF_FIVE_CUT_TOGETHER(5, Target.USERS_ANSWERED, day -> day.cutRepeatedly(3, 4)),
    TWO_OF_THREE_CUT_TOGETHER(3, Target.USERS_ANSWERED, day -> day.cutRepeatedly(0, 1)),
    REQUESTS_OF_FIRST_LOST(3, Target.USERS_ANSWERED, Day::loseRequestsOfFirst),
    NOTHING_REACHES_FIRST(3, Target.USERS_ANSWERED, Day::loseMessagesToFirst),
    /** Reads that take 1.6 s keep the replica fresh, but users don't wait for the next one. */
    SLOW_READS_OF_FIRST(3, Target.USERS_ANSWERED, day -> day.slowResponses(0)),
    SLOW_READS_OF_ALL(3, Target.ALL_READY, day -> day.slowResponses(0, 1, 2)),
    LEADER_CUT_AND_PEER_PAUSED(3, Target.USERS_ANSWERED, Day::cutLeaderAndPauseAnother),
    LEADER_CUT_AND_LEADER_CHANGES(3, Target.USERS_ANSWERED, Day::cutLeaderAndEndTheNext),
    LEADER_CUT_AND_PEER_GONE(3, Target.USERS_ANSWERED, Day::cutLeaderAndEndAnotherForGood),
    PEERS_LOST_LONG_BEFORE_STATE(3, Target.USERS_ANSWERED, Day::losePeersAndThenState),
    LEADER_CUT_THEN_OUTAGE(3, Target.RECOVERS, Day::cutLeaderBeforeOutage),
    OUTAGE(3, Target.ALL_READY, day -> day.outages(FAULT_MS, 1, 120_000)),
    OUTAGE_AND_PEER_RESTARTS(3, Target.NEVER_EMPTY, Day::outageWithRestarts),
    OUTAGE_AND_PEER_PAUSED(3, Target.RECOVERS, Day::outagesWithPauses),
    OUTAGE_AND_SILENCE_AGAIN_AND_AGAIN(3, Target.NEVER_EMPTY, day -> day.silentOutages(7, 50_000)),
    OUTAGE_AND_SILENCE_OF_FIVE(5, Target.NEVER_EMPTY, day -> day.silentOutages(9, 12_000)),
    OUTAGE_AND_SILENCE_OF_TWO(2, Target.NEVER_EMPTY, day -> day.silentOutages(7, 80_000)),
    LONG_OUTAGES_AND_SILENCE(3, Target.NEVER_EMPTY, day -> day.silentOutages(3, 600_000)),
    /**
     * The length in CI; by hand: {@code mvn test -Dtest=ReadinessFaultsTest -Dsoak.minutes=600}.
     */
    RANDOM_CUTS_OF_ONE_AT_A_TIME(3, Target.USERS_ANSWERED, day -> day.randomCuts(SOAK_MINUTES)),
    RANDOM_FAULTS(5, Target.RECOVERS, day -> day.randomFaults(SOAK_MINUTES)),
    SINGLE_CONTROLLER_LEFT(3, Target.NEVER_EMPTY, day -> day.endAllButOneBeforeOutages(340_000)),
    SINGLE_CONTROLLER_JUST_LEFT(3, Target.RECOVERS, day -> day.endAllButOneBeforeOutages(10_000));

    private final int controllers;
    private final Target target;
    private final Consumer<Day> faults;

    Combinations(int controllers, Target target, Consumer<Day> faults) {
      this.controllers = controllers;
      this.target = target;
      this.faults = faults;
    }

    @Override
    public int controllerCount() {
      return controllers;
    }

    @Override
    public void schedule(FaultScenario scenario) {
      new Day(scenario, name(), target).schedule(faults);
    }
  }

  ReadinessFaultsTest() {
    super(Combinations.values());
  }

  /** A day with users behind a load balancer, whose faults end at the time of the scenario. */
  private static final class Day {
    final FaultScenario scenario;
    final SimulatedCluster cluster;
    private final SimLoadBalancer loadBalancer;
    private final String name;
    private final Target target;
    private long gapDuringFaultsMs;
    private int removalsDuringFaults;
    private int cutLeader = -1;

    Day(FaultScenario scenario, String name, Target target) {
      this.scenario = scenario;
      this.cluster = scenario.cluster;
      this.loadBalancer = new SimLoadBalancer(cluster);
      this.name = name;
      this.target = target;
    }

    void schedule(Consumer<Day> faults) {
      scenario.submitJobs(3_500, 4_000, 40, 1, 1, 5);
      for (int i = 0; i < USERS; i++) {
        scenario.at(5_000 + i * 300, this::addUser);
      }
      faults.accept(this);
      scenario.at(scenario.faultsEndMs, this::faultsEnded);
      scenario.requireEvidence("users answered after the faults", this::hasRecovered);
      scenario.requireEvidence(target.name(), this::meetsTarget);
    }

    /** Services do not end, so no controller can answer for them without the state service. */
    private void addUser() {
      JobSpecBuilder service = JobSpecBuilder.from(scenario.job("blue", 1, 0.5, 0));
      String uid = service.kind(JobKind.SERVICE).jobClass("service").expectedS(0).build().uid();
      cluster.submitAndPoll(service.build());
      loadBalancer.addUser(uid);
    }

    private void faultsEnded() {
      gapDuringFaultsMs = loadBalancer.longestGapMs();
      removalsDuringFaults = loadBalancer.removals();
      loadBalancer.resetGaps();
    }

    private boolean hasRecovered() {
      LoggerFactory.getLogger(ReadinessFaultsTest.class)
          .info(
              "measured: combination={} gapMs={} gapAfterFaultsMs={} emptyMs={} removals={}",
              name,
              gapDuringFaultsMs,
              loadBalancer.longestGapMs(),
              loadBalancer.longestEmptyMs(),
              removalsDuringFaults);
      scenario.record("gap after the faults", loadBalancer::longestGapMs);
      return loadBalancer.longestGapMs() <= MAX_GAP_AFTER_FAULTS_MS;
    }

    private boolean meetsTarget() {
      scenario.record("gap", () -> gapDuringFaultsMs);
      scenario.record("longest time without a controller", loadBalancer::longestEmptyMs);
      scenario.record("removals", () -> removalsDuringFaults);
      return switch (target) {
        case USERS_ANSWERED -> gapDuringFaultsMs < MAX_GAP_MS;
        case NEVER_EMPTY -> loadBalancer.longestEmptyMs() == 0;
        case ALL_READY -> removalsDuringFaults == 0;
        case RECOVERS -> true;
      };
    }

    void cutLeader(int durationS) {
      cut(List.of(LEADER), FAULT_MS, durationS);
    }

    void cutLeaderAndPauseAnother() {
      cutLeader(300);
      scenario.at(FAULT_MS + 30_000, () -> cluster.freeze(other(), 25_000));
    }

    void cutLeaderAndEndTheNext() {
      cutLeader(300);
      scenario.at(FAULT_MS + 30_000, () -> cluster.crash(other(), 4_000));
      scenario.at(FAULT_MS + 100_000, () -> cluster.crash(other(), 300));
    }

    void cutLeaderAndEndAnotherForGood() {
      cutLeader(300);
      scenario.at(FAULT_MS + 20_000, () -> cluster.crash(other(), FOR_GOOD_MS));
    }

    void cutLeaderBeforeOutage() {
      cutLeader(200);
      outages(FAULT_MS + 100_000, 1, 120_000);
    }

    void losePeersAndThenState() {
      scenario.at(FAULT_MS, () -> separate(List.of(0), true));
      scenario.at(FAULT_MS + 200_000, () -> loseState(0, true));
      end(FAULT_MS + 400_000, () -> heal(List.of(0)));
    }

    void loseRequestsOfFirst() {
      scenario.at(FAULT_MS, () -> cluster.network.dropRequestsFrom("n0", true));
      end(FAULT_MS + 200_000, () -> cluster.network.dropRequestsFrom("n0", false));
    }

    void loseMessagesToFirst() {
      scenario.at(FAULT_MS, () -> cluster.network.dropInbound("n0", true));
      end(FAULT_MS + 200_000, () -> cluster.network.dropInbound("n0", false));
    }

    void slowResponses(Integer... controllers) {
      for (int controller : controllers) {
        scenario.at(FAULT_MS, () -> cluster.stateAccess.setResponseDelay(controller, 1_600));
        end(FAULT_MS + 150_000, () -> cluster.stateAccess.setResponseDelay(controller, 0));
      }
    }

    /** One controller at a time is cut off, while others end and return at once. */
    void randomCuts(int minutes) {
      Random random = scenario.random;
      long atMs = FAULT_MS;
      while (atMs < FAULT_MS + minutes * 60_000L) {
        int durationS = 5 + random.nextInt(random.nextBoolean() ? 30 : 296);
        cut(List.of(random.nextInt(cluster.controllerCount)), atMs, durationS);
        int other = random.nextInt(cluster.controllerCount);
        scenario.at(atMs + random.nextInt(60_000), () -> cluster.crash(other, 300));
        atMs += durationS * 1_000L + 1_000 + random.nextInt(60_000);
      }
    }

    /** Faults of all kinds, which may overlap, each followed by another within two minutes. */
    void randomFaults(int minutes) {
      Random random = scenario.random;
      long endMs = FAULT_MS + minutes * 60_000L;
      for (long atMs = FAULT_MS; atMs < endMs; atMs += 2_000 + random.nextInt(118_000)) {
        int controller = random.nextInt(cluster.controllerCount);
        int durationS = 5 + random.nextInt(random.nextBoolean() ? 30 : 296);
        switch (random.nextInt(5)) {
          case 0 -> cut(List.of(controller), atMs, durationS);
          case 1 -> cut(List.of(LEADER), atMs, durationS);
          case 2 -> outages(atMs, 1, durationS * 1_000);
          case 3 -> scenario.at(atMs, () -> cluster.freeze(controller, durationS * 200L));
          default -> scenario.at(atMs, () -> cluster.crash(controller, durationS * 100L));
        }
      }
      end(endMs, () -> {});
    }

    void outageWithRestarts() {
      outages(FAULT_MS, 1, 120_000);
      scenario.at(FAULT_MS + 30_000, () -> cluster.crash(0, 4_000));
      scenario.at(FAULT_MS + 70_000, () -> cluster.crash(1, 300));
    }

    void outagesWithPauses() {
      outages(FAULT_MS, 2, 90_000);
      scenario.at(FAULT_MS + 10_000, () -> cluster.freeze(0, 60_000));
      scenario.at(FAULT_MS + 130_000, () -> cluster.freeze(1, 60_000));
    }

    void endAllButOneBeforeOutages(long leadMs) {
      scenario.at(FAULT_MS, () -> cluster.crash(0, FOR_GOOD_MS));
      scenario.at(FAULT_MS, () -> cluster.crash(1, FOR_GOOD_MS));
      outages(FAULT_MS + leadMs, 6, 40_000);
    }

    /** A controller that has not been cut; the leader if possible. */
    int other() {
      for (int i = 0; i < cluster.controllerCount; i++) {
        if (i != cutLeader && cluster.isLeading(i)) {
          return i;
        }
      }
      return (cutLeader + 1) % cluster.controllerCount;
    }

    void end(long atMs, Runnable heal) {
      scenario.faultsEndMs = Math.max(scenario.faultsEndMs, atMs);
      scenario.at(atMs, heal);
    }

    /** Cuts the controllers from the state service and all others. */
    void cut(List<Integer> controllers, long fromMs, int durationS) {
      scenario.at(
          fromMs,
          () -> {
            List<Integer> chosen = controllers;
            if (controllers.contains(LEADER)) {
              cutLeader = Math.max(0, cluster.leader());
              chosen = List.of(cutLeader);
            }
            List<Integer> cut = chosen;
            separate(cut, true);
            cut.forEach(controller -> loseState(controller, true));
            cluster.clock.after(durationS * 1_000L, () -> heal(cut));
          });
      end(fromMs + durationS * 1_000L, () -> {});
    }

    void cutRepeatedly(Integer... controllers) {
      long fromMs = FAULT_MS;
      for (int durationS : new int[] {98, 5, 300, 20, 60, 10, 120, 40}) {
        cut(List.of(controllers), fromMs, durationS);
        fromMs += durationS * 1_000L + 2_000 + scenario.random.nextInt(30_000);
      }
    }

    void heal(List<Integer> controllers) {
      separate(controllers, false);
      controllers.forEach(controller -> loseState(controller, false));
    }

    /** Holds the packets between these controllers and all others, but not among these. */
    void separate(List<Integer> controllers, boolean active) {
      for (int controller : controllers) {
        for (int i = 0; i < cluster.controllerCount; i++) {
          if (!controllers.contains(i)) {
            cluster.network.holdPackets("n" + controller, "n" + i, active);
          }
        }
      }
    }

    void loseState(int controller, boolean active) {
      if (scenario.isOddSeed) {
        cluster.network.holdPackets("n" + controller, SimulatedCluster.STATE, active);
      } else {
        Arrays.stream(SimulatedCluster.RequestKind.values())
            .forEach(kind -> cluster.setRefused(controller, kind, active));
      }
    }

    void silentOutages(int count, int durationMs) {
      long fromMs = FAULT_MS;
      for (int i = 0; i < count; i++) {
        scenario.at(fromMs, () -> setOutageAndSilence(true));
        fromMs += durationMs;
        end(fromMs, () -> setOutageAndSilence(false));
        fromMs += 15_000 + scenario.random.nextInt(20_000);
      }
    }

    private void setOutageAndSilence(boolean active) {
      cluster.state.setOutage(active);
      for (int i = 0; i < cluster.controllerCount; i++) {
        for (int j = 0; j < i; j++) {
          cluster.network.holdPackets("n" + i, "n" + j, active);
        }
      }
    }

    void outages(long fromMs, int count, int durationMs) {
      for (int i = 0; i < count; i++) {
        long beginMs = fromMs + i * (durationMs + 15_000L);
        scenario.at(beginMs, () -> cluster.state.setOutage(true));
        end(beginMs + durationMs, () -> cluster.state.setOutage(false));
      }
    }
  }
}
