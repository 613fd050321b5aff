package org.ploverspindle.policy;

import java.util.Map;
import java.util.stream.Collectors;

/** Evaluates expressions over named numbers. Throws an exception if an expression is invalid. */
final class Evaluator {
  private final Map<String, Double> valuesByName;

  /**
   * @param valuesByName the numbers that an expression may refer to by name
   */
  Evaluator(Map<String, Double> valuesByName) {
    this.valuesByName = valuesByName;
  }

  /**
   * Evaluates an expression that must give a number.
   *
   * @throws PolicyException if the expression is a comparison or a part of it is invalid
   */
  double numericValue(Expression expression) throws PolicyException {
    if (isComparison(expression)) {
      throw new PolicyException(
          expression.column(),
          "expected a number but found a comparison, which may only stand between if and then");
    }
    if (expression instanceof Expression.If choice) {
      return evaluateIf(choice);
    }
    if (expression instanceof Expression.NumberLiteral number) {
      return number.value();
    }
    if (expression instanceof Expression.Name name) {
      return evaluateName(name);
    }
    if (expression instanceof Expression.Negation negation) {
      return -numericValue(negation.operand());
    }
    if (expression instanceof Expression.Call call) {
      return evaluateCall(call);
    }
    return evaluateArithmetic((Expression.Binary) expression);
  }

  /** Evaluates both branches, so that errors in the one that is not selected are found as well. */
  private double evaluateIf(Expression.If choice) throws PolicyException {
    double then = numericValue(choice.then());
    double otherwise = numericValue(choice.otherwise());
    return evaluateComparison(choice.condition()) ? then : otherwise;
  }

  private double evaluateName(Expression.Name name) throws PolicyException {
    Double value = valuesByName.get(name.name());
    if (value == null) {
      String known = valuesByName.keySet().stream().sorted().collect(Collectors.joining(", "));
      throw new PolicyException(
          name.column(), "unknown name \"" + name.name() + "\"; known names are " + known);
    }
    return value;
  }

  private static boolean isComparison(Expression expression) {
    return expression instanceof Expression.Binary binary
        && "< <= > >= ==".contains(binary.operator());
  }

  private boolean evaluateComparison(Expression expression) throws PolicyException {
    if (!(expression instanceof Expression.Binary comparison) || !isComparison(expression)) {
      throw new PolicyException(
          expression.column(),
          "expected a comparison between if and then, as in: if nodes > 1 then 5 else 6");
    }
    double left = numericValue(comparison.left());
    double right = numericValue(comparison.right());
    return switch (comparison.operator()) {
      case "<" -> left < right;
      case "<=" -> left <= right;
      case ">" -> left > right;
      case ">=" -> left >= right;
      default -> left == right;
    };
  }

  private double evaluateArithmetic(Expression.Binary binary) throws PolicyException {
    double left = numericValue(binary.left());
    double right = numericValue(binary.right());
    if (binary.operator().equals("/") && right == 0) {
      throw new PolicyException(binary.column(), "division by zero: the value after / is 0");
    }
    return switch (binary.operator()) {
      case "+" -> left + right;
      case "-" -> left - right;
      case "*" -> left * right;
      default -> left / right;
    };
  }

  private double evaluateCall(Expression.Call call) throws PolicyException {
    boolean max = call.function().equals("max");
    if (!max && !call.function().equals("min")) {
      throw new PolicyException(
          call.column(),
          "unknown function \"" + call.function() + "\"; known functions are max and min");
    }
    double result = numericValue(call.arguments().get(0));
    for (Expression argument : call.arguments()) {
      double value = numericValue(argument);
      result = max ? Math.max(result, value) : Math.min(result, value);
    }
    return result;
  }
}
