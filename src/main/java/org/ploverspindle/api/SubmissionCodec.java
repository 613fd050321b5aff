package org.ploverspindle.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.regex.Pattern;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;

/**
 * Decodes submissions from their wire form and checks each field. The wire names of a submission's
 * fields occur only in this class.
 */
final class SubmissionCodec {
  /** The form of a uid in the protocol: a word, a dash and a number. */
  private static final Pattern UID = Pattern.compile("[a-z][a-z0-9]{0,31}-[0-9]{1,18}");

  private static final int MAX_TEXT_LENGTH = 200;

  /** A larger amount is considered a mistake and is rejected. */
  private static final double MAX_AMOUNT = 1e12;

  private final ObjectNode body;

  private SubmissionCodec(ObjectNode body) {
    this.body = body;
  }

  static boolean isValidUid(String uid) {
    return UID.matcher(uid).matches();
  }

  /**
   * Returns the uid alone, if it is valid. A repeated submission is answered by its uid, even if
   * its other fields are invalid.
   */
  static Optional<String> uid(ObjectNode body) {
    return Optional.of(body.path("uid"))
        .filter(JsonNode::isTextual)
        .map(JsonNode::asText)
        .filter(SubmissionCodec::isValidUid);
  }

  /** Decodes the job. The exception names the first field that was found missing or invalid. */
  static JobSpec decode(ObjectNode body) throws MalformedSubmissionException {
    return new SubmissionCodec(body).decode();
  }

  private JobSpec decode() throws MalformedSubmissionException {
    String uid = uid(body).orElseThrow(() -> new MalformedSubmissionException("uid"));
    int tasks = tasks("pieces");
    double cores = amount("cores");
    double accelerators = amount("accelerators");
    double memoryGb = amount("mem_gb");
    JobKind kind = kind("shape");
    Priority priority = priority("urgency");
    return new JobSpec(
        uid,
        text("jobclass"),
        text("owner"),
        kind,
        priority,
        tasks,
        cores,
        accelerators,
        memoryGb,
        names("flavours"),
        optionalText("site"),
        flag("one_zone"),
        flag("apart"),
        flag("loaners"),
        text("bundle"),
        amount("image_gb"),
        amount("expected_s"),
        amount("save_every_s"),
        amount("save_cost_s"),
        optionalAmount("due_s"),
        uids("awaits"));
  }

  private int tasks(String field) throws MalformedSubmissionException {
    JsonNode node = body.path(field);
    if (!node.isIntegralNumber()
        || !node.canConvertToInt()
        || node.asInt() < 1
        || node.asInt() > JobSpec.MAX_TASKS) {
      throw new MalformedSubmissionException(field);
    }
    return node.asInt();
  }

  private JobKind kind(String field) throws MalformedSubmissionException {
    String name = text(field);
    return switch (name) {
      case "batch" -> JobKind.BATCH;
      // The protocol's table does not list this value, but the bench's trial with real processes
      // sends it.
      case "group" -> JobKind.GANG;
      case "daemon" -> JobKind.SERVICE;
      default -> throw new MalformedSubmissionException(field, name);
    };
  }

  private Priority priority(String field) throws MalformedSubmissionException {
    String name = text(field);
    return switch (name) {
      case "critical" -> Priority.CRITICAL;
      case "high" -> Priority.HIGH;
      case "normal" -> Priority.NORMAL;
      case "best_effort" -> Priority.BEST_EFFORT;
      default -> throw new MalformedSubmissionException(field, name);
    };
  }

  private boolean isAbsent(String field) {
    return body.path(field).isMissingNode() || body.path(field).isNull();
  }

  private double amount(String field) throws MalformedSubmissionException {
    JsonNode node = body.path(field);
    double value = node.asDouble();
    if (!node.isNumber() || !Double.isFinite(value) || value < 0 || value > MAX_AMOUNT) {
      throw new MalformedSubmissionException(field);
    }
    return value;
  }

  private OptionalDouble optionalAmount(String field) throws MalformedSubmissionException {
    return isAbsent(field) ? OptionalDouble.empty() : OptionalDouble.of(amount(field));
  }

  private String text(String field) throws MalformedSubmissionException {
    JsonNode node = body.path(field);
    if (!node.isTextual() || node.asText().isEmpty() || node.asText().length() > MAX_TEXT_LENGTH) {
      throw new MalformedSubmissionException(field);
    }
    return node.asText();
  }

  private Optional<String> optionalText(String field) throws MalformedSubmissionException {
    return isAbsent(field) ? Optional.empty() : Optional.of(text(field));
  }

  private boolean flag(String field) throws MalformedSubmissionException {
    JsonNode node = body.path(field);
    if (!node.isBoolean()) {
      throw new MalformedSubmissionException(field);
    }
    return node.asBoolean();
  }

  /**
   * Returns the uids of jobs in the field, without repetitions; an empty list if the field is
   * absent.
   */
  private List<String> uids(String field) throws MalformedSubmissionException {
    if (isAbsent(field)) {
      return List.of();
    }
    Set<String> uids = new LinkedHashSet<>();
    for (JsonNode node : array(field)) {
      if (!node.isTextual() || !isValidUid(node.asText())) {
        throw new MalformedSubmissionException(field);
      }
      uids.add(node.asText());
    }
    return List.copyOf(uids);
  }

  private Optional<List<String>> names(String field) throws MalformedSubmissionException {
    if (isAbsent(field)) {
      return Optional.empty();
    }
    List<String> names = new ArrayList<>();
    for (JsonNode node : array(field)) {
      if (!node.isTextual() || node.asText().length() > MAX_TEXT_LENGTH) {
        throw new MalformedSubmissionException(field);
      }
      names.add(node.asText());
    }
    return Optional.of(List.copyOf(names));
  }

  private JsonNode array(String field) throws MalformedSubmissionException {
    JsonNode node = body.path(field);
    if (!node.isArray()) {
      throw new MalformedSubmissionException(field);
    }
    return node;
  }
}
