package org.ploverspindle.policy;

import java.util.Map;
import java.util.stream.Collectors;

/** Evaluates an expression over the known names, or tells what is wrong with it. */
final class Evaluator {
  private final Map<String, Double> names;

  Evaluator(Map<String, Double> names) {
    this.names = names;
  }

  /** The value of an expression that must be an amount. */
  double amount(Expression e) throws PolicyException {
    if (isCondition(e)) {
      throw new PolicyException(e.column(), "a comparison is no amount");
    }
    // Both branches of an "if" are checked, also the one that the present settings do not take.
    if (e instanceof Expression.If choice) {
      double then = amount(choice.then());
      double otherwise = amount(choice.otherwise());
      return condition(choice.condition()) ? then : otherwise;
    }
    if (e instanceof Expression.Num num) {
      return num.value();
    }
    if (e instanceof Expression.Name name) {
      Double value = names.get(name.name());
      if (value == null) {
        String known = names.keySet().stream().sorted().collect(Collectors.joining(", "));
        throw new PolicyException(
            name.column(), "unknown name \"" + name.name() + "\"; known are " + known);
      }
      return value;
    }
    if (e instanceof Expression.Negate negate) {
      return -amount(negate.of());
    }
    if (e instanceof Expression.Call call) {
      return call(call);
    }
    return arithmetic((Expression.Binary) e);
  }

  private static boolean isCondition(Expression e) {
    return e instanceof Expression.Binary b && "< <= > >= ==".contains(b.op());
  }

  private boolean condition(Expression e) throws PolicyException {
    if (!(e instanceof Expression.Binary b) || !isCondition(e)) {
      throw new PolicyException(e.column(), "a comparison is needed here");
    }
    double left = amount(b.left());
    double right = amount(b.right());
    return switch (b.op()) {
      case "<" -> left < right;
      case "<=" -> left <= right;
      case ">" -> left > right;
      case ">=" -> left >= right;
      default -> left == right;
    };
  }

  private double arithmetic(Expression.Binary b) throws PolicyException {
    double left = amount(b.left());
    double right = amount(b.right());
    if (b.op().equals("/") && right == 0) {
      throw new PolicyException(b.column(), "division by zero");
    }
    return switch (b.op()) {
      case "+" -> left + right;
      case "-" -> left - right;
      case "*" -> left * right;
      default -> left / right;
    };
  }

  private double call(Expression.Call call) throws PolicyException {
    boolean max = call.function().equals("max");
    if (!max && !call.function().equals("min")) {
      throw new PolicyException(
          call.column(), "unknown function \"" + call.function() + "\"; known are max, min");
    }
    double result = amount(call.arguments().get(0));
    for (Expression argument : call.arguments()) {
      double value = amount(argument);
      result = max ? Math.max(result, value) : Math.min(result, value);
    }
    return result;
  }
}
