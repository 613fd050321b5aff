import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Users behind a load balancer that works at the connection level: each request has a connection of its own. */
final class Users {
  final Rules rules;
  final Cluster cluster;
  final Random random = new Random(3);
  private final boolean[] healthy;
  private final int[] good;
  private final int[] bad;
  private int next;

  Users(Rules rules, Cluster cluster) {
    this.rules = rules;
    this.cluster = cluster;
    int n = cluster.controllers.size();
    healthy = new boolean[n];
    good = new int[n];
    bad = new int[n];
    for (int i = 0; i < n; i++) {
      int index = i;
      Http.POOL.submit(() -> probe(index));
    }
  }

  private void probe(int i) {
    boolean ever = false;
    while (true) {
      boolean ok = Cluster.ready(cluster.controllers.get(i));
      good[i] = ok ? good[i] + 1 : 0;
      bad[i] = ok ? 0 : bad[i] + 1;
      if (ok && (!ever || good[i] >= 2)) {
        healthy[i] = true;
        ever = true;
      }
      if (bad[i] >= 2) {
        healthy[i] = false;
      }
      try {
        Thread.sleep(1000);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  synchronized List<Cluster.Controller> choices() {
    List<Cluster.Controller> all = new ArrayList<>();
    int n = cluster.controllers.size();
    next++;
    for (int i = 0; i < n; i++) {
      int index = (i + next) % n;
      if (healthy[index]) {
        all.add(cluster.controllers.get(index));
      }
    }
    return all;
  }

  int healthyCount() {
    int count = 0;
    for (boolean h : healthy) {
      count += h ? 1 : 0;
    }
    return count;
  }

  /** Sends one request by the load balancer; null if there was no answer in time. */
  Http.Response send(String method, String path, byte[] body, int timeoutMs) {
    for (Cluster.Controller c : choices()) {
      Http.Client client = new Http.Client(c.front);
      try {
        return client.send(method, path, body, timeoutMs);
      } catch (java.net.ConnectException e) {
        continue;
      } catch (IOException e) {
        return null;
      } finally {
        client.close();
      }
    }
    return null;
  }

  /** Submits until it is answered for good or 60 s have passed; whether the job was accepted. */
  boolean submit(Rules.Job job) throws InterruptedException {
    job.submitted = true;
    byte[] body = Cb.write(job.spec);
    long end = rules.now() + 60_000;
    while (rules.now() < end) {
      long asked = rules.now();
      Http.Response r = send("POST", "/submissions", body, 5000);
      int status = r == null ? 0 : r.status();
      rules.answered(job, "submit", asked, status, r == null ? null : r.map());
      if (status == 200 || status == 201) {
        return true;
      }
      if (status == 400 || status == 422) {
        return false;
      }
      Thread.sleep(1000);
    }
    return false;
  }

  String poll(Rules.Job job) {
    long asked = rules.now();
    Http.Response r = send("GET", "/submissions/" + job.uid, null, 2000);
    rules.answered(job, "poll", asked, r == null ? 0 : r.status(), r == null ? null : r.map());
    return r != null && r.status() == 200 ? Cb.text(r.map(), "status") : "";
  }

  String cancel(Rules.Job job) throws InterruptedException {
    job.cancelAskedMs = rules.now();
    while (true) {
      long asked = rules.now();
      Http.Response r = send("POST", "/submissions/" + job.uid + "/withdraw", new byte[0], 5000);
      rules.answered(job, "cancel", asked, r == null ? 0 : r.status(), r == null ? null : r.map());
      if (r != null && r.status() == 200) {
        return Cb.text(r.map(), "status");
      }
      if (rules.now() > job.cancelAskedMs + 60_000) {
        return "";
      }
      Thread.sleep(1000);
    }
  }
}
