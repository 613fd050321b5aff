package org.ploverspindle.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;

/** A machine is at fault when jobs that run elsewhere fail there; a job, when it runs nowhere. */
class FailureDetectorTest {
  private final Map<String, Job> jobs = new HashMap<>();
  private long now = 100_000;
  private final FailureDetector blame =
      new FailureDetector(uid -> jobs.containsKey(uid) && jobs.get(uid).isKnownToRun(now));

  private Job job(String uid) {
    Job job =
        new Job(
            JobSpecFixtures.batch(uid, "c", "red", Priority.NORMAL, 20, 1, 1, 30, 100),
            0,
            80,
            0,
            new BitSet(),
            -1,
            1);
    jobs.put(uid, job);
    return job;
  }

  private Machine machine(String host) {
    Machine m = new Machine(host, 0, 0, true, Resources.offered(16, 0, 64), 0, 1);
    reported(m);
    return m;
  }

  private void reported(Machine m) {
    m.recordHeartbeat(
        new Heartbeat(m.host(), "", "t", "a", true, 1, now, 1, OptionalDouble.empty(), List.of()),
        now,
        true);
  }

  private boolean fails(Job job, Machine m) {
    m.failures().recordFailure(job.uid(), now);
    job.failedOn(m.host(), 0, now);
    return blame.failed(m, job, now);
  }

  @Test
  void aJobThatFailsEverywhereHasNoMachineReturnedAndHardlyAnyShunned() {
    Job broken = job("run-1");
    int shunned = 0;
    for (int i = 0; i < 40; i++) {
      Machine m = machine("i-" + i);
      for (int t = 0; t < 5; t++) {
        assertFalse(fails(broken, m));
      }
      shunned += m.isSchedulable(now, 5_000) ? 0 : 1;
    }
    assertTrue(shunned <= 1, shunned + " machines are shunned for one job's mistake");
    assertTrue(broken.isFailingEverywhere(now));
  }

  @Test
  void aMachineThatFailsWhatRunsElsewhereIsReturned() {
    Machine sick = machine("i-1");
    Job first = job("run-1");
    Job second = job("run-2");
    first.markCompleted(0);
    assertFalse(fails(first, sick));
    assertFalse(sick.isSchedulable(now + 9_000, 20_000));
    assertFalse(fails(second, sick), "the second job may be the one at fault");
    second.markCompleted(0);
    assertTrue(fails(second, sick));
  }

  @Test
  void manyFailuresOfOneJobThatCompletesElsewhereAreEnough() {
    Machine sick = machine("i-1");
    Job job = job("run-1");
    job.markCompleted(3);
    assertFalse(fails(job, sick));
    assertFalse(fails(job, sick));
    assertTrue(fails(job, sick));
  }

  @Test
  void aBrokenMachineIsFoundAlsoAmongJobsWithMistakes() {
    Machine sick = machine("i-1");
    Job broken = job("run-1");
    fails(broken, machine("i-2"));
    fails(broken, machine("i-3"));
    assertFalse(fails(broken, sick));
    Job good = job("run-2");
    assertFalse(fails(good, sick));
    assertFalse(sick.isSchedulable(now, 5_000), "in doubt it draws no more work for a moment");
    good.markCompleted(1);
    fails(good, sick);
    assertTrue(fails(good, sick));
  }

  @Test
  void completionsOfTasksBegunBeforeTheFailureDoNotClearAMachine() {
    Machine m = machine("i-1");
    m.failures().recordFailure("run-1", 1_000);
    m.failures().recordCompletion(500);
    m.failures().recordFailure("run-2", 2_000);
    assertEquals(2, m.failures().byJob().size());
    m.failures().recordCompletion(2_500);
    assertEquals(0, m.failures().byJob().size());
  }

  @Test
  void aJobThatFailsIsTriedOnAtGrowingIntervalsWithOneTask() {
    Job broken = job("run-1");
    int tries = 0;
    long last = now;
    for (long end = now + 600_000; now < end; now += 250) {
      if (broken.schedulableTasks(now) > 0) {
        assertEquals(tries == 0 ? 20 : 1, broken.schedulableTasks(now));
        broken.failedOn("i-" + tries % 7, 0, now);
        tries++;
        assertTrue(now - last <= 61_000, "it waited for " + (now - last));
        last = now;
      }
    }
    assertTrue(tries >= 12 && tries <= 17, tries + " tries in ten minutes");
    broken.markCompleted(0);
    assertEquals(
        19, broken.schedulableTasks(now), "what has shown that it runs is not held any more");
  }
}
