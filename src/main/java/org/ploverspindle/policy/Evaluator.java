package org.ploverspindle.policy;

import java.util.Map;
import java.util.stream.Collectors;

/** Evaluates expressions over named amounts. An expression that is wrong raises an exception. */
final class Evaluator {
  private final Map<String, Double> names;

  /**
   * @param names the amounts that an expression may use
   */
  Evaluator(Map<String, Double> names) {
    this.names = names;
  }

  /** The value of an expression that must be an amount. */
  double amount(Expression expression) throws PolicyException {
    if (isCondition(expression)) {
      throw new PolicyException(expression.column(), "a comparison is no amount");
    }
    if (expression instanceof Expression.If choice) {
      return choice(choice);
    }
    if (expression instanceof Expression.Num number) {
      return number.value();
    }
    if (expression instanceof Expression.Name name) {
      return valueOf(name);
    }
    if (expression instanceof Expression.Negate negation) {
      return -amount(negation.of());
    }
    if (expression instanceof Expression.Call call) {
      return call(call);
    }
    return arithmetic((Expression.Binary) expression);
  }

  /** Both branches are evaluated, so that one that is not taken at present is checked as well. */
  private double choice(Expression.If choice) throws PolicyException {
    double then = amount(choice.then());
    double otherwise = amount(choice.otherwise());
    return condition(choice.condition()) ? then : otherwise;
  }

  private double valueOf(Expression.Name name) throws PolicyException {
    Double value = names.get(name.name());
    if (value == null) {
      String known = names.keySet().stream().sorted().collect(Collectors.joining(", "));
      throw new PolicyException(
          name.column(), "unknown name \"" + name.name() + "\"; known are " + known);
    }
    return value;
  }

  private static boolean isCondition(Expression expression) {
    return expression instanceof Expression.Binary binary
        && "< <= > >= ==".contains(binary.operator());
  }

  private boolean condition(Expression expression) throws PolicyException {
    if (!(expression instanceof Expression.Binary comparison) || !isCondition(expression)) {
      throw new PolicyException(expression.column(), "a comparison is needed here");
    }
    double left = amount(comparison.left());
    double right = amount(comparison.right());
    return switch (comparison.operator()) {
      case "<" -> left < right;
      case "<=" -> left <= right;
      case ">" -> left > right;
      case ">=" -> left >= right;
      default -> left == right;
    };
  }

  private double arithmetic(Expression.Binary binary) throws PolicyException {
    double left = amount(binary.left());
    double right = amount(binary.right());
    if (binary.operator().equals("/") && right == 0) {
      throw new PolicyException(binary.column(), "division by zero");
    }
    return switch (binary.operator()) {
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
