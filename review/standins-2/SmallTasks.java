import java.nio.file.Path;

/** An array of many small tasks, so that more of them fit on a machine than its worker can report. */
public final class SmallTasks {
  private static final long LIMIT_MS = 95_000;

  private SmallTasks() {}

  public static void main(String[] args) {
    Deployment.main(Path.of(args[0]), SmallTasks::play);
  }

  private static boolean play(Deployment d) throws Exception {
    Users users = new Users(d.rules, d.cluster);
    d.cluster.controllers.forEach(d.cluster::start);
    d.await("three controllers are ready", 15_000, () -> users.healthyCount() == 3);
    Rules.Job job = d.trouble ? d.job("run-000001", 4_000, 0.01, 40) : d.job("run-000001", 400, 0.1, 40);
    job.spec.put("mem_gb", d.trouble ? 0.02 : 0.2);
    if (!users.submit(job)) {
      throw new Deployment.CannotRun("the job was not accepted");
    }
    long end = d.rules.now() + LIMIT_MS;
    while (d.rules.now() < end && job.doneToldMs < 0) {
      Thread.sleep(5_000);
      users.poll(job);
      d.rules.say("tasks done " + job.doneTasks.size() + " of " + job.pieces() + ", starts " + d.rules.totalStarts);
    }
    return !job.doneTasks.isEmpty() && d.rules.broken.isEmpty();
  }
}
