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

/** The wire form of submissions, checked field by field. */
final class SubmissionCodec {
  /** The form of the protocol's ids: a word, a dash, a number. */
  private static final Pattern UID = Pattern.compile("[a-z][a-z0-9]{0,31}-[0-9]{1,18}");

  private static final int MAX_TEXT = 200;

  /** A field that is missing or invalid. */
  static final class MalformedSubmissionException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedSubmissionException(String message) {
      super(message);
    }
  }

  private final ObjectNode body;

  private SubmissionCodec(ObjectNode body) {
    this.body = body;
  }

  static boolean validUid(String uid) {
    return UID.matcher(uid).matches();
  }

  /** The id alone, when it can be read: a repeat is answered by it, whatever else the body says. */
  static Optional<String> uid(ObjectNode body) {
    return Optional.of(body.path("uid"))
        .filter(JsonNode::isTextual)
        .map(JsonNode::asText)
        .filter(SubmissionCodec::validUid);
  }

  static JobSpec decode(ObjectNode body) throws MalformedSubmissionException {
    return new SubmissionCodec(body).decode();
  }

  private JobSpec decode() throws MalformedSubmissionException {
    String uid = uid(body).orElseThrow(() -> new MalformedSubmissionException("uid"));
    JsonNode pieces = body.path("pieces");
    if (!pieces.isIntegralNumber()
        || !pieces.canConvertToInt()
        || pieces.asInt() < 1
        || pieces.asInt() > JobSpec.MAX_TASKS) {
      throw new MalformedSubmissionException("pieces");
    }
    double cores = amount("cores");
    double accelerators = amount("accelerators");
    double memory = amount("mem_gb");
    JobKind shape =
        switch (text("shape")) {
          case "batch" -> JobKind.BATCH;
          // Not in the protocol's table, yet the bench's trial on real processes asks for it.
          case "group" -> JobKind.GANG;
          case "daemon" -> JobKind.SERVICE;
          default -> throw new MalformedSubmissionException("shape: " + text("shape"));
        };
    Priority urgency =
        switch (text("urgency")) {
          case "critical" -> Priority.CRITICAL;
          case "high" -> Priority.HIGH;
          case "normal" -> Priority.NORMAL;
          case "best_effort" -> Priority.BEST_EFFORT;
          default -> throw new MalformedSubmissionException("urgency: " + text("urgency"));
        };
    return new JobSpec(
        uid,
        text("jobclass"),
        text("owner"),
        shape,
        urgency,
        pieces.asInt(),
        cores,
        accelerators,
        memory,
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
        absent("due_s") ? OptionalDouble.empty() : OptionalDouble.of(amount("due_s")),
        uids("awaits"));
  }

  private boolean absent(String field) {
    return body.path(field).isMissingNode() || body.path(field).isNull();
  }

  private double amount(String field) throws MalformedSubmissionException {
    JsonNode n = body.path(field);
    double value = n.asDouble();
    if (!n.isNumber() || !Double.isFinite(value) || value < 0 || value > 1e12) {
      throw new MalformedSubmissionException(field);
    }
    return value;
  }

  private String text(String field) throws MalformedSubmissionException {
    JsonNode n = body.path(field);
    if (!n.isTextual() || n.asText().isEmpty() || n.asText().length() > MAX_TEXT) {
      throw new MalformedSubmissionException(field);
    }
    return n.asText();
  }

  private Optional<String> optionalText(String field) throws MalformedSubmissionException {
    return absent(field) ? Optional.empty() : Optional.of(text(field));
  }

  private boolean flag(String field) throws MalformedSubmissionException {
    JsonNode n = body.path(field);
    if (!n.isBoolean()) {
      throw new MalformedSubmissionException(field);
    }
    return n.asBoolean();
  }

  /** Ids of jobs, each once however often it is named. */
  private List<String> uids(String field) throws MalformedSubmissionException {
    if (absent(field)) {
      return List.of();
    }
    if (!body.path(field).isArray()) {
      throw new MalformedSubmissionException(field);
    }
    Set<String> uids = new LinkedHashSet<>();
    for (JsonNode n : body.path(field)) {
      if (!n.isTextual() || !validUid(n.asText())) {
        throw new MalformedSubmissionException(field);
      }
      uids.add(n.asText());
    }
    return List.copyOf(uids);
  }

  private Optional<List<String>> names(String field) throws MalformedSubmissionException {
    if (absent(field)) {
      return Optional.empty();
    }
    if (!body.path(field).isArray()) {
      throw new MalformedSubmissionException(field);
    }
    List<String> names = new ArrayList<>();
    for (JsonNode n : body.path(field)) {
      if (!n.isTextual() || n.asText().length() > MAX_TEXT) {
        throw new MalformedSubmissionException(field);
      }
      names.add(n.asText());
    }
    return Optional.of(List.copyOf(names));
  }
}
