package org.ploverspindle.state;

import java.util.List;
import java.util.Locale;

/**
 * The keys in the state service. Each key starts with a prefix that contains the version of the
 * storage format. A parameter named {@code uid} is the id of a job.
 */
public final class Keys {
  public static final String PREFIX = "ps1/";
  public static final String LEADER = PREFIX + "leader";
  public static final String FENCING_TOKEN = PREFIX + "token";
  public static final String MACHINE_TYPES = PREFIX + "types";
  public static final String JOBS = PREFIX + "j/";
  public static final String JOB_BATCHES = PREFIX + "b/";

  /**
   * The prefix of dependency lists that are stored outside the record of their job. It sorts before
   * the prefixes of job records, so that a full load reads each list before the job that refers to
   * it.
   */
  public static final String DEPENDENCIES = PREFIX + "a/";

  public static final String CANCELLATIONS = PREFIX + "c/";
  public static final String COMPLETIONS = PREFIX + "d/";
  public static final String SNAPSHOTS = PREFIX + "p/";
  public static final String PROGRESS_LOG = PREFIX + "l/";
  public static final String PROVISIONING_INTENTS = PREFIX + "r/";
  public static final String POOL_BOUNDS = PREFIX + "g/";

  /**
   * The prefix of machine terminations. A termination is recorded before it is requested from the
   * cloud, and is never revoked.
   */
  public static final String TERMINATIONS = PREFIX + "x/";

  /**
   * The prefixes of the records of accepted jobs, which are created once and never removed. A load
   * reads them last, in this order, so that it is known which jobs have ended.
   */
  static final List<String> JOB_RECORDS = List.of(JOB_BATCHES, JOBS, DEPENDENCIES);

  /** The keys of {@link #DEPENDENCIES} and {@link #JOB_BATCHES}, the first two, end before this. */
  static final String AFTER_JOB_BATCHES = after(JOB_BATCHES);

  private Keys() {}

  /** Returns a text that sorts after all keys with this prefix, which ends with a slash. */
  static String after(String prefix) {
    return prefix.substring(0, prefix.length() - 1) + (char) ('/' + 1);
  }

  /** Returns whether the key is that of a record of accepted jobs. */
  static boolean isAcceptance(String key) {
    return key.startsWith(JOB_BATCHES) || key.startsWith(JOBS);
  }

  /** Returns the id of the job whose list of dependencies has a part under this key. */
  static String jobOfDependencies(String key) {
    int nameEnd = key.lastIndexOf('/');
    return key.substring(
        DEPENDENCIES.length(), Math.max(DEPENDENCIES.length(), key.lastIndexOf('-', nameEnd)));
  }

  /** Returns the key of a record of jobs that were accepted together. */
  public static String jobBatch(String name) {
    return JOB_BATCHES + name;
  }

  /** Returns the key of a part of a dependency list. */
  public static String dependencies(String name, int part) {
    return DEPENDENCIES + name + "/" + String.format(Locale.ROOT, "%04d", part);
  }

  /** Returns the key of the slot that holds the progress log record with this sequence number. */
  public static String progressLog(long sequence) {
    return PROGRESS_LOG + String.format(Locale.ROOT, "%03d", ProgressLogRecord.slot(sequence));
  }

  /** Returns the key that exists once the cancellation of the job is recorded. */
  public static String cancellation(String uid) {
    return CANCELLATIONS + uid;
  }

  /** Returns the key that exists once the completion of the job is recorded. */
  public static String completion(String uid) {
    return COMPLETIONS + uid;
  }

  /** Returns the prefix of the keys of the job's progress snapshots. */
  public static String snapshotsOf(String uid) {
    return SNAPSHOTS + uid + "/";
  }

  /** Returns the key of the progress snapshot of one shard of the job. */
  public static String snapshot(String uid, int shard) {
    return snapshotsOf(uid) + String.format(Locale.ROOT, "%05d", shard);
  }

  /**
   * Returns the key of a part of the machine types; parts are used if one value can't hold them.
   */
  public static String machineTypes(int part) {
    return MACHINE_TYPES + "/" + String.format(Locale.ROOT, "%04d", part);
  }

  /** Returns the key of the provisioning intent with this name. */
  public static String provisioningIntent(String name) {
    return PROVISIONING_INTENTS + name;
  }

  /** Returns the key of the termination with this name; names are unique across all terms. */
  public static String termination(String name) {
    return TERMINATIONS + name;
  }

  /** Returns the key of the recorded bounds of the machine groups of a machine type. */
  public static String poolBounds(String machineType) {
    return POOL_BOUNDS + machineType;
  }
}
