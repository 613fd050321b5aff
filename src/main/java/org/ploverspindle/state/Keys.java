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
  public static final String SPECS = PREFIX + "j/";
  public static final String BATCHES = PREFIX + "b/";

  /** Before the jobs' own keys in their order: who reads all keys reads these lists first. */
  public static final String AWAITS = PREFIX + "a/";

  public static final String CANCELS = PREFIX + "c/";
  public static final String DONES = PREFIX + "d/";
  public static final String PROGRESS = PREFIX + "p/";
  public static final String LOG = PREFIX + "l/";
  public static final String CLAIMS = PREFIX + "r/";
  public static final String BOUNDS = PREFIX + "g/";

  /** Returns of machines that are decided for good. */
  public static final String RETURNS = PREFIX + "x/";

  private Keys() {}

  public static String batch(String name) {
    return BATCHES + name;
  }

  public static String awaits(String name, int part) {
    return AWAITS + name + "/" + String.format(Locale.ROOT, "%04d", part);
  }

  public static String log(long n) {
    return LOG + String.format(Locale.ROOT, "%03d", ProgressLogRecord.slot(n));
  }

  public static String cancel(String uid) {
    return CANCELS + uid;
  }

  public static String done(String uid) {
    return DONES + uid;
  }

  public static String progressOf(String uid) {
    return PROGRESS + uid + "/";
  }

  public static String progress(String uid, int chunk) {
    return progressOf(uid) + String.format(Locale.ROOT, "%05d", chunk);
  }

  /** One of several records of the machine types, where one value can't hold them. */
  public static String types(int part) {
    return TYPES + "/" + String.format(Locale.ROOT, "%04d", part);
  }

  public static String claim(String name) {
    return CLAIMS + name;
  }

  /** A return's record; its name is used once over all terms. */
  public static String machineReturn(String name) {
    return RETURNS + name;
  }

  public static String bounds(String flavour) {
    return BOUNDS + flavour;
  }
}
