package org.ploverspindle.state;

import java.util.Locale;

/**
 * The keys in the state service. All start with a prefix that names the version of the format. A
 * {@code uid} is the id of a job.
 */
public final class Keys {
  public static final String PREFIX = "ps1/";
  public static final String LEADER = PREFIX + "leader";
  public static final String TOKEN = PREFIX + "token";
  public static final String MACHINE_TYPES = PREFIX + "types";
  public static final String JOBS = PREFIX + "j/";
  public static final String JOB_BATCHES = PREFIX + "b/";

  /** Sorts before the jobs' keys, so that a load reads the lists before the jobs that need them. */
  public static final String DEPENDENCIES = PREFIX + "a/";

  public static final String CANCELLATIONS = PREFIX + "c/";
  public static final String COMPLETIONS = PREFIX + "d/";
  public static final String SNAPSHOTS = PREFIX + "p/";
  public static final String PROGRESS_LOG = PREFIX + "l/";
  public static final String PROVISIONING_INTENTS = PREFIX + "r/";
  public static final String BOUNDS = PREFIX + "g/";

  /** Terminations of machines: recorded before the cloud is asked, and never revoked. */
  public static final String TERMINATIONS = PREFIX + "x/";

  private Keys() {}

  /** Jobs that were accepted together. */
  public static String jobBatch(String name) {
    return JOB_BATCHES + name;
  }

  /** A part of a list of dependencies. */
  public static String dependencies(String name, int part) {
    return DEPENDENCIES + name + "/" + String.format(Locale.ROOT, "%04d", part);
  }

  /** The slot of the record with this sequence number. */
  public static String progressLog(long sequence) {
    return PROGRESS_LOG + String.format(Locale.ROOT, "%03d", ProgressLogRecord.slot(sequence));
  }

  /** Exists once the job is cancelled. */
  public static String cancellation(String uid) {
    return CANCELLATIONS + uid;
  }

  /** Exists once the job is complete. */
  public static String completion(String uid) {
    return COMPLETIONS + uid;
  }

  /** Prefix of the job's progress snapshots. */
  public static String snapshotsOf(String uid) {
    return SNAPSHOTS + uid + "/";
  }

  /** The progress snapshot of a shard of the job. */
  public static String snapshot(String uid, int shard) {
    return snapshotsOf(uid) + String.format(Locale.ROOT, "%05d", shard);
  }

  /** A part of the machine types, where one value can't hold them. */
  public static String machineTypes(int part) {
    return MACHINE_TYPES + "/" + String.format(Locale.ROOT, "%04d", part);
  }

  /** The record of a provisioning intent. */
  public static String provisioningIntent(String name) {
    return PROVISIONING_INTENTS + name;
  }

  /** A termination; its name is used once over all terms. */
  public static String termination(String name) {
    return TERMINATIONS + name;
  }

  /** The recorded bounds of the groups of a machine type. */
  public static String bounds(String machineType) {
    return BOUNDS + machineType;
  }
}
