package org.ploverspindle.state;

import java.util.Locale;

/**
 * Names of this program's keys. The prefix carries the format's version, and leaves room for a
 * site's name in between once one state service serves several.
 */
public final class Keys {
  public static final String PREFIX = "ps1/";
  public static final String LEADER = PREFIX + "leader";
  public static final String TOKEN = PREFIX + "token";
  public static final String TYPES = PREFIX + "types";
  public static final String JOBS = PREFIX + "j/";
  public static final String JOB_BATCHES = PREFIX + "b/";

  /** Before the jobs' own keys in their order: who reads all keys reads these lists first. */
  public static final String DEPENDENCIES = PREFIX + "a/";

  public static final String CANCELLATIONS = PREFIX + "c/";
  public static final String COMPLETIONS = PREFIX + "d/";
  public static final String SNAPSHOTS = PREFIX + "p/";
  public static final String PROGRESS_LOG = PREFIX + "l/";
  public static final String PROVISIONING_INTENTS = PREFIX + "r/";
  public static final String BOUNDS = PREFIX + "g/";

  /** Returns of machines that are decided for good. */
  public static final String TERMINATIONS = PREFIX + "x/";

  private Keys() {}

  public static String jobBatch(String name) {
    return JOB_BATCHES + name;
  }

  public static String dependencies(String name, int part) {
    return DEPENDENCIES + name + "/" + String.format(Locale.ROOT, "%04d", part);
  }

  public static String progressLog(long n) {
    return PROGRESS_LOG + String.format(Locale.ROOT, "%03d", ProgressLogRecord.slot(n));
  }

  public static String cancellation(String uid) {
    return CANCELLATIONS + uid;
  }

  public static String completion(String uid) {
    return COMPLETIONS + uid;
  }

  public static String snapshotsOf(String uid) {
    return SNAPSHOTS + uid + "/";
  }

  public static String snapshot(String uid, int chunk) {
    return snapshotsOf(uid) + String.format(Locale.ROOT, "%05d", chunk);
  }

  /** One of several records of the machine types, where one value can't hold them. */
  public static String types(int part) {
    return TYPES + "/" + String.format(Locale.ROOT, "%04d", part);
  }

  public static String provisioningIntent(String name) {
    return PROVISIONING_INTENTS + name;
  }

  /** A return's record; its name is used once over all terms. */
  public static String termination(String name) {
    return TERMINATIONS + name;
  }

  public static String bounds(String machineType) {
    return BOUNDS + machineType;
  }
}
