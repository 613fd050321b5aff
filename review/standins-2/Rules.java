import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What was submitted, answered and run, and the rules of the protocol page that are checked against it. */
final class Rules {
  static final class Job {
    final Map<String, Object> spec;
    final String uid;
    final double runS;
    volatile boolean submitted;
    volatile long acceptedMs = -1;
    volatile long cancelAskedMs = -1;
    volatile long abortedMs = -1;
    volatile long doneToldMs = -1;
    volatile int lastStatus;
    volatile String lastText = "";
    final Set<Integer> doneTasks = new HashSet<>();
    final Map<Integer, Integer> starts = new TreeMap<>();

    Job(Map<String, Object> spec, double runS) {
      this.spec = spec;
      this.uid = Cb.text(spec, "uid");
      this.runS = runS;
    }

    int pieces() {
      return (int) Cb.num(spec, "pieces");
    }
  }

  final Map<String, Job> jobs = new LinkedHashMap<>();
  final Map<String, Set<String>> onMachines = new HashMap<>();
  final Map<String, Double> teamLimit = new HashMap<>();
  final Map<String, Double> teamUse = new HashMap<>();
  final List<String> broken = new ArrayList<>();
  final PrintWriter record;
  final long startNs = System.nanoTime();
  long cancelMs = 40_000;
  int totalStarts;

  Rules(PrintWriter record) {
    this.record = record;
  }

  long now() {
    return (System.nanoTime() - startNs) / 1_000_000;
  }

  synchronized void say(String text) {
    String line = String.format("%8.3f %s", now() / 1000.0, text);
    record.println(line);
    record.flush();
  }

  synchronized void broken(String rule, String text) {
    broken.add(rule);
    say("BROKEN " + rule + ": " + text);
  }

  synchronized Job add(Job job) {
    jobs.put(job.uid, job);
    return job;
  }

  synchronized Job get(String uid) {
    return jobs.get(uid);
  }

  static String uidOf(String piece) {
    return piece.substring(0, piece.lastIndexOf('/'));
  }

  static int taskOf(String piece) {
    return Integer.parseInt(piece.substring(piece.lastIndexOf('/') + 1));
  }

  synchronized void started(String piece, long attempt, String host, String flavour, boolean spot) {
    Job job = jobs.get(uidOf(piece));
    totalStarts++;
    job.starts.merge(taskOf(piece), 1, Integer::sum);
    say("start " + piece + " try " + attempt + " on " + host);
    Set<String> on = onMachines.computeIfAbsent(piece, p -> new HashSet<>());
    if (!on.isEmpty()) {
      broken("ran_twice", piece + " starts on " + host + " while on " + on);
    }
    on.add(host);
    List<Object> flavours = Cb.list(job.spec, "flavours");
    if (!flavours.isEmpty() && !flavours.contains(flavour) || spot && !Boolean.TRUE.equals(job.spec.get("loaners"))) {
      broken("wrong_place", piece + " on " + host + " " + flavour + " spot " + spot);
    }
    if (job.abortedMs >= 0 && now() > job.abortedMs + cancelMs) {
      broken("ran_cancelled", piece + " starts on " + host);
    }
    String team = Cb.text(job.spec, "owner");
    double use = teamUse.merge(team, Cb.dbl(job.spec, "cores"), Double::sum);
    double limit = teamLimit.getOrDefault(team, 0.0);
    if (limit > 0 && use > limit + 1e-6) {
      broken("quota", team + " uses " + use + " of " + limit);
    }
  }

  synchronized void gone(String piece, String host, String why) {
    Job job = jobs.get(uidOf(piece));
    say("gone " + piece + " from " + host + ": " + why);
    Set<String> on = onMachines.get(piece);
    if (on != null && on.remove(host)) {
      teamUse.merge(Cb.text(job.spec, "owner"), -Cb.dbl(job.spec, "cores"), Double::sum);
    }
    if (why.equals("done")) {
      job.doneTasks.add(taskOf(piece));
    }
  }

  synchronized void checkCancelled() {
    for (Job job : jobs.values()) {
      if (job.abortedMs >= 0 && now() > job.abortedMs + cancelMs) {
        onMachines.forEach(
            (piece, on) -> {
              if (uidOf(piece).equals(job.uid) && !on.isEmpty()) {
                broken("ran_cancelled", piece + " is still on " + on);
              }
            });
      }
    }
  }

  /** Checks an answer to a user: the request was sent at askedMs. */
  synchronized void answered(Job job, String what, long askedMs, int status, Map<String, Object> body) {
    String text = body == null ? "" : Cb.text(body, "status");
    job.lastStatus = status;
    job.lastText = text;
    say(what + " " + job.uid + " -> " + status + " " + text + (body == null ? "" : " " + body));
    boolean was = job.acceptedMs >= 0 && job.acceptedMs < askedMs;
    if (was && (status == 404 || what.startsWith("submit") && (status == 400 || status == 422))) {
      broken("forgotten", job.uid + " " + what + " " + status);
    }
    if (!job.submitted && status == 200) {
      broken("invented", job.uid);
    }
    if (status != 200 && status != 201) {
      return;
    }
    if (job.acceptedMs < 0) {
      job.acceptedMs = now();
    }
    if (text.equals("done") && job.doneTasks.size() < job.pieces()) {
      broken("not_done", job.uid + " " + job.doneTasks.size() + " of " + job.pieces());
    }
    if (text.equals("aborted") && job.cancelAskedMs < 0) {
      broken("went_back", job.uid + " is called cancelled, its user did not cancel it");
    }
    if (job.doneToldMs >= 0 && job.doneToldMs < askedMs && !text.equals("done")
        || job.abortedMs >= 0 && job.abortedMs < askedMs && !text.equals("aborted")) {
      broken("went_back", job.uid + " is called " + text);
    }
    if (text.equals("done") && job.doneToldMs < 0) {
      job.doneToldMs = now();
    }
    if (text.equals("aborted") && job.abortedMs < 0) {
      job.abortedMs = now();
    }
  }
}
