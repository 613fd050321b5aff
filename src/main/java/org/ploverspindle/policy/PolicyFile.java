package org.ploverspindle.policy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ploverspindle.settings.InvalidSettingsException;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.settings.SettingsProblem;

/**
 * Reads a policy. Each line gives one setting, as {@code NAME = EXPRESSION}, {@code pool "TYPE" min
 * = EXPRESSION} or {@code pool "TYPE" max = EXPRESSION}; {@code #} begins a comment. Expressions
 * may refer to numbers of the platform's settings by name.
 */
public final class PolicyFile {
  private record Range(double min, double max, boolean whole) {
    boolean excludes(double value) {
      return value < min || value > max || whole && value != Math.rint(value);
    }
  }

  private static final Map<String, Range> RANGES =
      Map.of(
          "scan_s", new Range(0.5, 600, false),
          "backoff_s", new Range(1, 3_600, false),
          "idle_s", new Range(1, 86_400, false),
          "drain_s", new Range(1, 3_600, false),
          "pool_min", new Range(0, 100_000, true),
          "pool_max", new Range(0, 100_000, true));

  private static final String POOL_PREFIX = "pool/";

  private final String file;
  private final Evaluator evaluator;
  private final Map<String, Double> values = new LinkedHashMap<>();
  private final Set<String> assignedTargets = new HashSet<>();
  private final List<SettingsProblem> problems = new ArrayList<>();

  private PolicyFile(String file, Settings settings) {
    this.file = file;
    this.evaluator = new Evaluator(valuesByName(settings));
  }

  private static Map<String, Double> valuesByName(Settings settings) {
    Map<String, Double> values = new HashMap<>();
    values.put("nodes", (double) settings.controllerCount());
    values.put("zones", (double) settings.zones().size());
    values.put("teams", (double) settings.teams().size());
    values.put("report_s", settings.workers().heartbeatIntervalS());
    values.put("lease_s", settings.workers().leaseS());
    values.put("cancel_s", settings.workers().cancelS());
    values.put("state_rps", settings.effectiveStateLimits().requestsPerS());
    values.put("state_write_rps", settings.effectiveStateLimits().changesPerS());
    values.put("cloud_rps", settings.cloudLimits().requestsPerS());
    values.put("list_lag_s", settings.cloudLimits().maxListLagS());
    return values;
  }

  /**
   * Reads a file.
   *
   * @throws InvalidSettingsException with every problem that was found
   */
  public static Policy load(Path path, Settings settings) throws InvalidSettingsException {
    try {
      return parse(path.toString(), Files.readString(path), settings);
    } catch (NoSuchFileException e) {
      throw new InvalidSettingsException(
          List.of(new SettingsProblem(path.toString(), 0, "", "file not found")));
    } catch (IOException e) {
      throw new InvalidSettingsException(
          List.of(
              new SettingsProblem(
                  path.toString(), 0, "", "the file can't be read: " + e.getMessage())));
    }
  }

  /**
   * Reads a policy from a string.
   *
   * @param file the file name that is shown with each problem
   * @throws InvalidSettingsException with every problem that was found
   */
  public static Policy parse(String file, String text, Settings settings)
      throws InvalidSettingsException {
    PolicyFile reader = new PolicyFile(file, settings);
    List<String> lines = text.lines().toList();
    for (int i = 0; i < lines.size(); i++) {
      reader.readLine(i + 1, lines.get(i));
    }
    Policy policy = reader.buildPolicy();
    if (!reader.problems.isEmpty()) {
      throw new InvalidSettingsException(reader.problems);
    }
    return policy;
  }

  private void readLine(int number, String line) {
    int comment = line.indexOf('#');
    String code = comment < 0 ? line : line.substring(0, comment);
    if (code.isBlank()) {
      return;
    }
    String target = "";
    try {
      Parser parser = new Parser(code);
      target = parser.parseTarget();
      Range range = rangeOf(target);
      Expression expression = parser.parseExpression();
      if (!assignedTargets.add(target)) {
        throw new PolicyException(1, "this setting is set more than once");
      }
      double value = evaluator.numericValue(expression);
      if (range.excludes(value)) {
        throw outOfRange(expression, value, range);
      }
      values.put(target, value);
    } catch (PolicyException e) {
      problems.add(new SettingsProblem(file, number, target, e.getMessage()));
    }
  }

  private static PolicyException outOfRange(Expression expression, double value, Range range) {
    String kind = range.whole() ? "a whole number " : "";
    return new PolicyException(
        expression.column(),
        "the value is "
            + value
            + " and must be "
            + kind
            + "from "
            + range.min()
            + " to "
            + range.max());
  }

  private static Range rangeOf(String target) throws PolicyException {
    String name = target.startsWith(POOL_PREFIX) ? "pool_max" : target;
    Range range = RANGES.get(name);
    if (range == null) {
      throw new PolicyException(
          1,
          "unknown setting; known settings are "
              + String.join(", ", RANGES.keySet().stream().sorted().toList())
              + ", pool \"TYPE\" min and pool \"TYPE\" max");
    }
    return range;
  }

  private Policy buildPolicy() {
    Policy defaults = Policy.DEFAULT;
    int min = values.getOrDefault("pool_min", (double) defaults.poolMin()).intValue();
    int max = values.getOrDefault("pool_max", (double) defaults.poolMax()).intValue();
    checkBounds("pool_min", min, max);
    Map<String, Policy.PoolBounds> pools = new HashMap<>();
    for (String target : values.keySet()) {
      if (target.startsWith(POOL_PREFIX)) {
        String type = target.substring(POOL_PREFIX.length(), target.lastIndexOf('/'));
        int typeMin = values.getOrDefault("pool/" + type + "/min", (double) min).intValue();
        int typeMax = values.getOrDefault("pool/" + type + "/max", (double) max).intValue();
        if (pools.put(type, new Policy.PoolBounds(typeMin, typeMax)) == null) {
          checkBounds("pool \"" + type + "\" min", typeMin, typeMax);
        }
      }
    }
    return new Policy(
        values.getOrDefault("scan_s", defaults.scanS()),
        values.getOrDefault("backoff_s", defaults.backoffS()),
        values.getOrDefault("idle_s", defaults.idleS()),
        min,
        max,
        values.getOrDefault("drain_s", defaults.drainS()),
        Map.copyOf(pools));
  }

  private void checkBounds(String field, int min, int max) {
    if (min > max) {
      problems.add(
          new SettingsProblem(
              file, 0, field, "the minimum " + min + " is above the maximum " + max));
    }
  }
}
