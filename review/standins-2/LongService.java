import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.Keys;

/** Controllers that come back after a crash, with the finished jobs of a day in the state service. */
public final class LongService {
  /** 27 hours of the brief's 18.5 jobs a minute; without the trouble, under three hours. */
  private static final int MANY = Integer.getInteger("finished", 30_000);

  private static final int FEW = 3_000;
  private static final long LIMIT_MS = 75_000;

  private LongService() {}

  public static void main(String[] args) {
    Deployment.main(Path.of(args[0]), LongService::play);
  }

  private static boolean play(Deployment d) throws Exception {
    CrashWithHistory.addHistory(d, d.trouble ? MANY : FEW);
    Rules.Job job = d.job("run-900001", 4, 1, 5);
    job.submitted = true;
    ObjectNode accepted = Cbor.map();
    accepted.set(job.uid, CrashWithHistory.record(job.uid, 4));
    CrashWithHistory.put(d.state, Keys.jobBatch("spindle-1-earlier-1"), Cb.readMap(Cbor.write(accepted)));
    job.acceptedMs = d.rules.now();
    int[] ends = new int[3];
    long from = d.rules.now();
    boolean answered = false;
    for (int i = 0; i < 3; i++) {
      // One after another, so that the loads don't take the state service's requests from each other.
      d.cluster.start(d.cluster.controllers.get(i));
      Thread.sleep(4_000);
    }
    long[] backMs = new long[3];
    while (d.rules.now() < from + LIMIT_MS && !(answered && job.doneToldMs >= 0)) {
      for (int i = 0; i < 3; i++) {
        Cluster.Controller c = d.cluster.controllers.get(i);
        if (c.process.isAlive()) {
          answered |= CrashWithHistory.poll(d, job, c);
        } else if (backMs[i] == 0) {
          ends[i]++;
          backMs[i] = d.rules.now() + 3_000;
          d.rules.say(c.name + " has ended by itself, exit code " + c.process.exitValue() + ", end " + ends[i]);
        } else if (d.rules.now() >= backMs[i]) {
          backMs[i] = 0;
          d.cluster.start(c);
        }
      }
      Thread.sleep(700);
    }
    d.rules.say("ended by themselves: " + ends[0] + ", " + ends[1] + ", " + ends[2] + " times; a poll was answered: " + answered
        + "; the job is done: " + (job.doneToldMs >= 0));
    return answered && ends[0] + ends[1] + ends[2] == 0 && d.rules.broken.isEmpty();
  }
}
