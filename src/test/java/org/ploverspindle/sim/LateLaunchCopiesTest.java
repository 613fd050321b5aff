package org.ploverspindle.sim;

import java.util.List;

/**
 * Guards against a task that runs on two machines, or after its cancellation, because a late copy
 * of a launch reaches its worker again that was executed and answered before.
 */
class LateLaunchCopiesTest extends FaultScenarioTest {
  private enum Combinations implements FaultScenario.Combination {
    DIRECT_LAUNCHES(true, Restart.NONE),
    DIRECT_LAUNCHES_AND_WORKERS_BACK_IN_A_NEW_EPOCH(true, Restart.NEW_EPOCH),
    DIRECT_LAUNCHES_AND_WORKERS_BACK_IN_THE_SAME_EPOCH(true, Restart.SAME_EPOCH),
    LAUNCHES_IN_RESPONSES(false, Restart.NONE),
    LAUNCHES_IN_RESPONSES_AND_WORKERS_BACK_IN_A_NEW_EPOCH(false, Restart.NEW_EPOCH),
    LAUNCHES_IN_RESPONSES_AND_WORKERS_BACK_IN_THE_SAME_EPOCH(false, Restart.SAME_EPOCH);

    /** What the processes of workers do that end and are back at once. */
    private enum Restart {
      NONE,
      NEW_EPOCH,
      SAME_EPOCH
    }

    private final boolean direct;
    private final Restart restart;

    Combinations(boolean direct, Restart restart) {
      this.direct = direct;
      this.restart = restart;
    }

    /** Each copy arrives again and again: after forgets, stops, moves, and cancellations. */
    @Override
    public void schedule(FaultScenario scenario) {
      SimulatedCluster cluster = scenario.cluster;
      for (int i = 0; i < 40; i++) {
        String team = i % 2 == 0 ? "red" : "blue";
        scenario.at(
            3_000 + i * 2_000,
            () ->
                cluster.submitAndPoll(
                    scenario.withHighPriorityAndDeadline(scenario.job(team, 3, 1, 12))));
      }
      scenario.submitJobs(4_000, 5_000, 16, 4, 2, 25);
      scenario.at(19_000, () -> scenario.record("terms", cluster::termCount));
      scenario.repeat(15_000, 100_000, 4_000, () -> cluster.cancelRunning(1, 0));
      scenario.repeat(20_000, 100_000, 17_000, () -> scenario.crashLeader(50));
      scenario.repeat(25_000, 100_000, 13_000, () -> disturbWorkers(scenario));
      scenario.repeat(10_000, 115_000, 250, () -> deliverCopies(scenario));
      scenario.faultsEndMs = 116_000;
      scenario.requireLeaderChanges(3);
      scenario.requireEvidence(
          "workers accepted copies", () -> scenario.recorded("accepted") >= 20);
    }

    private void disturbWorkers(FaultScenario scenario) {
      List<SimWorker> busy = scenario.busyWorkers();
      for (int i = 0; i < busy.size(); i += 3) {
        SimWorker worker = busy.get(i);
        if (restart == Restart.NONE) {
          worker.hang(700);
        } else {
          worker.restartProcess(restart == Restart.NEW_EPOCH);
        }
      }
    }

    private void deliverCopies(FaultScenario scenario) {
      for (SimWorker worker : List.copyOf(scenario.cluster.cloud.workers())) {
        boolean all = scenario.random.nextInt(4) == 0;
        int accepted =
            all
                ? worker.launchCopies.deliverAll(worker, direct)
                : worker.launchCopies.deliverOne(worker, direct, scenario.random);
        scenario.increase("accepted", accepted);
      }
    }
  }

  LateLaunchCopiesTest() {
    super(Combinations.values());
  }
}
