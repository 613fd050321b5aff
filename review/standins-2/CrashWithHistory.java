import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;

/** All controllers crash while the state service holds the finished jobs of earlier hours. */
public final class CrashWithHistory {
  /** About nine hours of the brief's 18.5 jobs a minute. */
  private static final int FINISHED_JOBS = Integer.getInteger("finished", 10_000);
  private static final long NO_ANSWER_MS = Long.getLong("noAnswerMs", 90_000);

  private CrashWithHistory() {}

  public static void main(String[] args) {
    Deployment.main(Path.of(args[0]), CrashWithHistory::play);
  }

  private static boolean play(Deployment d) throws Exception {
    addHistory(d, FINISHED_JOBS);
    for (Cluster.Controller c : d.cluster.controllers) {
      d.cluster.start(c);
      d.await(c.name + " is ready", 15_000, () -> Cluster.ready(c));
    }
    Rules.Job job = d.job("run-900001", 4, 1, 20);
    job.submitted = true;
    long asked = d.rules.now();
    Http.Response r = new Http.Client(d.cluster.controllers.get(0).front).send("POST", "/submissions", Cb.write(job.spec), 5000);
    d.rules.answered(job, "submit", asked, r.status(), r.map());
    if (r.status() != 201) {
      throw new Deployment.CannotRun("the job was not accepted");
    }
    d.await("all tasks run", 15_000, () -> d.rules.totalStarts >= 4);
    if (d.trouble) {
      d.cluster.controllers.forEach(d.cluster::kill);
      Thread.sleep(3_000);
      d.cluster.controllers.forEach(d.cluster::start);
    }
    long from = d.rules.now();
    boolean answered = false;
    while (d.rules.now() < from + NO_ANSWER_MS && !(answered && job.doneToldMs >= 0)) {
      for (Cluster.Controller c : d.cluster.controllers) {
        answered |= poll(d, job, c);
      }
      Thread.sleep(2_500);
      for (int i = 0; i < 3; i++) {
        d.rules.say(d.fronts[i].name + ": ready " + Cluster.ready(d.cluster.controllers.get(i)) + ", requests to the state service "
            + d.fronts[i].requests + ", of them answered 429 " + d.fronts[i].limited);
      }
    }
    d.rules.say("a poll was answered: " + answered + ", the job is done: " + (job.doneToldMs >= 0));
    return answered && d.rules.broken.isEmpty();
  }

  /** Asks one controller about the job; whether the answer was 200. */
  static boolean poll(Deployment d, Rules.Job job, Cluster.Controller c) {
    long asked = d.rules.now();
    Http.Client client = new Http.Client(c.front);
    try {
      Http.Response r = client.send("GET", "/submissions/" + job.uid, null, 2000);
      d.rules.answered(job, "poll at " + c.name, asked, r.status(), r.map());
      return r.status() == 200;
    } catch (IOException e) {
      d.rules.say("poll at " + c.name + " " + job.uid + " -> " + e.getMessage());
      return false;
    } finally {
      client.close();
    }
  }

  /** Stores finished jobs in the form in which a controller stores them. */
  static void addHistory(Deployment d, int jobs) {
    synchronized (d.state) {
      for (int i = 0; i < jobs; i++) {
        String uid = String.format("run-%06d", i);
        ObjectNode batch = Cbor.map();
        batch.set(uid, record(uid, 10));
        put(d.state, Keys.jobBatch("spindle-0-earlier-" + i), Cb.readMap(Cbor.write(batch)));
        put(d.state, Keys.completion(uid), Cb.map("tasks", 10));
      }
    }
    d.rules.say("finished jobs in the state service: " + jobs + ", keys: " + d.state.entries.size());
  }

  /** The stored record of a job that was accepted an hour ago. */
  static ObjectNode record(String uid, int tasks) {
    return new JobRecord(spec(uid, tasks), System.currentTimeMillis() - 3_600_000, 79).encode();
  }

  static void put(StateService state, String key, Map<String, Object> value) {
    state.ledger++;
    state.entries.put(key, new StateService.Entry(value, state.ledger, 0));
  }

  private static JobSpec spec(String uid, int tasks) {
    return new JobSpec(uid, "resubmit-marking", "platform-team", JobKind.BATCH, Priority.HIGH, tasks, 1, 0, 2.5,
        Optional.empty(), Optional.empty(), false, false, true, "img-01", 0.6, 35, 0, 0, OptionalDouble.of(80), List.of());
  }
}
