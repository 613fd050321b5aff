package org.ploverspindle.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Reads the platform's TOML. Unknown fields are ignored; every missing or invalid one is reported
 * by name, all of them at once, so that an operator mends a file in one go.
 */
public final class SettingsFile {
  private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");
  private static final int MAX_PORT = 65_535;
  private static final double LEAST_REPORT_S = 0.01;
  private static final double LEAST_LEASE_S = 0.1;
  private static final double LEAST_CLOUD_RPS = 0.1;
  private static final double LEAST_CORES = 0.001;
  private static final int LEAST_CONNECTIONS = 16;

  private static final int LEAST_TXN_OPS = 4;

  private static final Address NOWHERE = new Address("0.0.0.0", 0);

  private final String file;
  private final List<String> lines;
  private final List<SettingsProblem> problems = new ArrayList<>();

  private SettingsFile(String file, List<String> lines) {
    this.file = file;
    this.lines = lines;
  }

  /** Reads a file. The exception names every problem that was found. */
  public static Settings load(Path path) throws InvalidSettingsException {
    try {
      return parse(path.toString(), Files.readString(path));
    } catch (NoSuchFileException e) {
      throw new InvalidSettingsException(
          List.of(new SettingsProblem(path.toString(), 0, "", "there is no such file")));
    } catch (IOException e) {
      throw new InvalidSettingsException(
          List.of(new SettingsProblem(path.toString(), 0, "", "can't be read: " + e.getMessage())));
    }
  }

  /** Reads a text; {@code file} is the name that problems are reported under. */
  public static Settings parse(String file, String text) throws InvalidSettingsException {
    JsonNode root;
    try {
      root = new ObjectMapper(new TomlFactory()).readTree(text);
    } catch (JsonProcessingException e) {
      JsonLocation at = e.getLocation();
      throw new InvalidSettingsException(
          List.of(
              new SettingsProblem(
                  file,
                  at == null ? 0 : at.getLineNr(),
                  "",
                  "not TOML: " + e.getOriginalMessage())));
    }
    SettingsFile reader = new SettingsFile(file, text.lines().toList());
    Settings settings = reader.read(root);
    if (!reader.problems.isEmpty()) {
      throw new InvalidSettingsException(reader.problems);
    }
    return settings;
  }

  private Settings read(JsonNode root) {
    JsonNode params = table(root, "params");
    JsonNode workers = table(params, "params.workers");
    JsonNode state = table(params, "params.state");
    JsonNode cloud = table(params, "params.cloud");
    JsonNode quota = table(params, "params.quota");
    JsonNode outside = table(root, "outside");
    Settings settings =
        new Settings(
            text(root, "member"),
            text(root, "location"),
            address(root, "front"),
            address(root, "back"),
            members(root),
            address(outside, "outside.cloud"),
            address(outside, "outside.state"),
            zones(params),
            amount(params, "params.skew_ms", 0),
            teams(params),
            objectives(params),
            new Settings.WorkerLimits(
                amount(workers, "params.workers.report_s", LEAST_REPORT_S),
                amount(workers, "params.workers.lease_s", LEAST_LEASE_S),
                amount(workers, "params.workers.cancel_s", LEAST_LEASE_S)),
            stateLimits(state),
            new Settings.CloudLimits(
                amount(cloud, "params.cloud.rps", LEAST_CLOUD_RPS),
                amount(cloud, "params.cloud.list_lag_s", 0)),
            new Settings.Quota(
                amount(quota, "params.quota.cores", LEAST_CORES),
                amount(quota, "params.quota.ram_mb", 1),
                (int) amount(quota, "params.quota.max_connections", LEAST_CONNECTIONS)));
    checkTogether(settings);
    return settings;
  }

  private Settings.StateLimits stateLimits(JsonNode state) {
    Settings.StateLimits now =
        new Settings.StateLimits(
            amount(state, "params.state.rps", 1),
            amount(state, "params.state.write_rps", 1),
            amount(state, "params.state.value_kb", 1),
            (int) amount(state, "params.state.txn_ops", LEAST_TXN_OPS));
    JsonNode next = state.path("next");
    if (next.isMissingNode()) {
      return now;
    }
    if (!next.isObject()) {
      report("params.state.next", "must be a table");
      return now;
    }
    Settings.StateLimits later =
        new Settings.StateLimits(
            amountOr(next, "params.state.next.rps", 1, now.rps()),
            amountOr(next, "params.state.next.write_rps", 1, now.writeRps()),
            amountOr(next, "params.state.next.value_kb", 1, now.valueKb()),
            (int) amountOr(next, "params.state.next.txn_ops", LEAST_TXN_OPS, now.txnOps()));
    return new Settings.StateLimits(
        now.rps(), now.writeRps(), now.valueKb(), now.txnOps(), Optional.of(later));
  }

  private double amountOr(JsonNode in, String field, double least, double absent) {
    return in.path(last(field)).isMissingNode() ? absent : amount(in, field, least);
  }

  private void checkTogether(Settings s) {
    Set<String> names = new HashSet<>(Set.of(s.member()));
    for (Settings.Member m : s.members()) {
      if (!names.add(m.name())) {
        report("members.member", "\"" + m.name() + "\" stands twice");
      }
    }
    Set<String> teams = new HashSet<>();
    for (Settings.Team t : s.teams()) {
      if (!teams.add(t.name())) {
        report("params.teams.name", "\"" + t.name() + "\" stands twice");
      }
      if (t.coresMax() > 0 && t.coresMax() < t.cores()
          || t.acceleratorsMax() > 0 && t.acceleratorsMax() < t.accelerators()) {
        report("params.teams.cpus_max", "the limit of \"" + t.name() + "\" is below its guarantee");
      }
    }
    if (s.workers().leaseS() >= s.workers().cancelS()) {
      report(
          "params.workers.cancel_s",
          "must be longer than lease_s: a machine that is cut off stops only when its lease ends");
    }
  }

  private List<Settings.Member> members(JsonNode root) {
    List<Settings.Member> members = new ArrayList<>();
    for (JsonNode m : tables(root, "members")) {
      members.add(
          new Settings.Member(
              text(m, "members.member"),
              text(m, "members.location"),
              address(m, "members.address")));
    }
    return members;
  }

  private List<String> zones(JsonNode params) {
    List<String> zones = new ArrayList<>();
    JsonNode list = params.path("zones");
    if (!list.isArray() || list.isEmpty()) {
      report("params.zones", "a list of at least one zone is needed");
      return zones;
    }
    for (JsonNode z : list) {
      if (!z.isTextual() || z.asText().isBlank()) {
        report("params.zones", "every zone must be a name");
      } else {
        zones.add(z.asText());
      }
    }
    return zones;
  }

  private List<Settings.Team> teams(JsonNode params) {
    List<Settings.Team> teams = new ArrayList<>();
    for (JsonNode t : tables(params, "params.teams")) {
      teams.add(
          new Settings.Team(
              text(t, "params.teams.name"),
              amount(t, "params.teams.cpus", 0),
              amount(t, "params.teams.cpus_max", 0),
              amount(t, "params.teams.gpus", 0),
              amount(t, "params.teams.gpus_max", 0)));
    }
    if (teams.isEmpty()) {
      report("params.teams", "at least one team is needed");
    }
    return teams;
  }

  /** Aims are hints; the kinds that have no class or share are kept with empty ones. */
  private List<Settings.Objective> objectives(JsonNode params) {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (JsonNode o : tables(params, "params.objectives")) {
      objectives.add(
          new Settings.Objective(
              text(o, "params.objectives.kind"),
              o.path("class").asText(""),
              o.path("share").asDouble(0),
              o.path("times").asDouble(1),
              o.path("within_s").asDouble(0)));
    }
    return objectives;
  }

  private static String last(String field) {
    return field.substring(field.lastIndexOf('.') + 1);
  }

  private JsonNode table(JsonNode in, String field) {
    JsonNode node = in.path(last(field));
    if (!node.isObject()) {
      if (!in.isMissingNode()) {
        report(field, "this table is missing");
      }
      return MissingNode.getInstance();
    }
    return node;
  }

  private Iterable<JsonNode> tables(JsonNode in, String field) {
    JsonNode node = in.path(last(field));
    if (node.isMissingNode()) {
      return List.of();
    }
    if (!node.isArray()) {
      report(field, "must be a list of tables");
      return List.of();
    }
    return node;
  }

  private String text(JsonNode in, String field) {
    JsonNode node = in.path(last(field));
    if (in.isMissingNode()) {
      return "";
    }
    if (!node.isTextual() || node.asText().isBlank()) {
      report(field, node.isMissingNode() ? "is missing" : "must be a text that is not empty");
      return "";
    }
    return node.asText();
  }

  private double amount(JsonNode in, String field, double least) {
    if (in.isMissingNode()) {
      return least;
    }
    JsonNode node = in.path(last(field));
    if (!node.isNumber() || !Double.isFinite(node.asDouble()) || node.asDouble() < least) {
      report(
          field, node.isMissingNode() ? "is missing" : "must be a number, " + least + " or more");
      return least;
    }
    return node.asDouble();
  }

  private Address address(JsonNode in, String field) {
    String value = text(in, field);
    if (value.isEmpty()) {
      return NOWHERE;
    }
    var m = ADDRESS.matcher(value);
    if (!m.matches() || Integer.parseInt(m.group(2)) > MAX_PORT) {
      report(field, "must be an IP number and a port, as in 10.0.0.1:8080");
      return NOWHERE;
    }
    return new Address(m.group(1), Integer.parseInt(m.group(2)));
  }

  /** The line is the first one that sets the field below its table's header, or the header's. */
  private void report(String field, String message) {
    String table = field.contains(".") ? field.substring(0, field.lastIndexOf('.')) : "";
    Pattern header = Pattern.compile("\\s*\\[\\[?\\s*" + Pattern.quote(table) + "\\s*]]?.*");
    Pattern set = Pattern.compile("\\s*" + Pattern.quote(last(field)) + "\\s*=.*");
    int line = 0;
    boolean inTable = table.isEmpty();
    for (int i = 0; i < lines.size(); i++) {
      if (lines.get(i).stripLeading().startsWith("[")) {
        inTable = header.matcher(lines.get(i)).matches();
        line = inTable && line == 0 ? i + 1 : line;
      } else if (inTable && set.matcher(lines.get(i)).matches()) {
        line = i + 1;
        break;
      }
    }
    problems.add(new SettingsProblem(file, line == 0 ? inlineLine(table) : line, field, message));
  }

  /** Where a table without a header of its own is set: inline, or by dotted keys. */
  private int inlineLine(String table) {
    Pattern set = Pattern.compile("\\s*" + Pattern.quote(last(table)) + "\\s*[.=].*");
    String parent = table.contains(".") ? table.substring(0, table.lastIndexOf('.')) : "";
    String inside = "";
    for (int i = 0; i < lines.size(); i++) {
      String line = lines.get(i).strip();
      if (line.startsWith("[")) {
        inside = line.replaceAll("[\\[\\]\\s]|#.*", "");
      } else if (!table.isEmpty() && inside.equals(parent) && set.matcher(line).matches()) {
        return i + 1;
      }
    }
    return 0;
  }
}
