import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The jobs as users uploaded them, and what runs on the machines; checks rules as tasks start. */
final class Fleet {
  /** A job: its submission, and how long its tasks run: from runS * (1 - spread) to runS * (1 + spread). */
  record JobInfo(Map<String, Object> spec, double runS, double spread) {
    JobInfo(Map<String, Object> spec, double runS) {
      this(spec, runS, 0);
    }

    long runMs() {
      return Math.round(runS * 1000 * (1 + spread * (2 * Math.random() - 1)));
    }

    int pieces() {
      return (int) Cb.num(spec, "pieces", 1);
    }
  }

  final Map<String, JobInfo> jobs = new ConcurrentHashMap<>();
  final Record record;
  private final Map<String, String> hostOfRunning = new HashMap<>();
  private final Map<String, Set<String>> donePieces = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long starts;

  /** Jobs whose single tasks are not in the record, as they are too many. */
  private final Set<String> unrecorded = ConcurrentHashMap.newKeySet();

  Fleet(Record record) {
    this.record = record;
  }

  void leaveOutOfRecord(String uid) {
    unrecorded.add(uid);
  }

  private boolean isRecorded(String piece) {
    return !unrecorded.contains(piece.substring(0, piece.indexOf('/')));
  }

  synchronized void started(String piece, String host) {
    starts++;
    if (isRecorded(piece)) {
      record.line("run started piece=%s host=%s", piece, host);
    }
    String other = hostOfRunning.put(piece, host);
    if (other != null && !other.equals(host)) {
      violations.add("ran_twice " + piece + " on " + host + " while on " + other);
      record.line("BROKEN %s", violations.get(violations.size() - 1));
    }
  }

  synchronized void ended(String piece, String host, String how) {
    if (isRecorded(piece)) {
      record.line("run ended piece=%s host=%s how=%s", piece, host, how);
    }
    hostOfRunning.remove(piece, host);
    if (how.equals("done")) {
      donePieces.computeIfAbsent(piece.substring(0, piece.indexOf('/')), k -> new HashSet<>()).add(piece);
    }
  }

  synchronized int done(String uid) {
    return donePieces.getOrDefault(uid, Set.of()).size();
  }

  synchronized boolean isDone(String piece) {
    return donePieces.getOrDefault(piece.substring(0, piece.indexOf('/')), Set.of()).contains(piece);
  }

  synchronized long starts() {
    return starts;
  }

  synchronized List<String> violations() {
    return List.copyOf(violations);
  }
}
