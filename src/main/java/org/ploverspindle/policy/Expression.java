package org.ploverspindle.policy;

import java.util.List;

/** An expression of the policy language. */
sealed interface Expression {
  /** The column shown with an error of this expression, counted from 1. */
  int column();

  /** A literal number. */
  record NumberLiteral(double value, int column) implements Expression {}

  /** A reference to a number of the settings by its name. */
  record Name(String name, int column) implements Expression {}

  /** The negation of a number. */
  record Negation(Expression operand, int column) implements Expression {}

  /** An arithmetic operation or a comparison. */
  record Binary(String operator, Expression left, Expression right, int column)
      implements Expression {}

  /** A call of a function, with at least one argument. */
  record Call(String function, List<Expression> arguments, int column) implements Expression {}

  /** A choice between two numbers, which depends on a comparison. */
  record If(Expression condition, Expression then, Expression otherwise, int column)
      implements Expression {}
}
