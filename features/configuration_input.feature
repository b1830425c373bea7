@site
Feature: Bad input to the operators' interface changes nothing

  Background:
    Given a site with organisation "kraftwerk" and a rule that names it

  Scenario Outline: A <what> gets one typed answer
    Guards against applying the valid change of a set with an invalid one: a partly
    applied change set is a state that no operator asked for.
    When an operator sends a valid change together with <what>
    Then the operators' answer is <status> "<type>" about "<field>"
    And the configuration is unchanged

    Examples:
      | what                                 | status | type              | field                                  |
      | malformed JSON                       | 400    | malformed_body    |                                        |
      | an unknown field                     | 400    | malformed_body    | changes[1].colour                      |
      | an unknown field of the value        | 400    | malformed_body    | changes[1].value.colour                |
      | an unknown kind                      | 400    | malformed_body    | changes[1].kind                        |
      | a name that is not allowed           | 400    | malformed_body    | changes[1].name                        |
      | a negative shape                     | 400    | malformed_body    | changes[1].value.shape[0].accelerators |
      | a negative revision                  | 400    | malformed_body    | expected_revision                      |
      | too many changes                     | 400    | malformed_body    | changes                                |
      | a selector that does not parse       | 422    | invalid_value     | rule.steer.selects                     |
      | a shape that cannot fit              | 422    | shapes_do_not_fit | organisation.greedy.shape              |
      | a rule with an unknown organisation  | 422    | invalid_value     | rule.steer.organisation                |
      | a removed organisation a rule names  | 422    | invalid_value     | rule.coaches.organisation              |
      | the same part twice                  | 422    | invalid_value     | changes[2].name                        |
      | a stale revision                     | 409    | revision_conflict | expected_revision                      |

  Scenario: A dry run reports what would change and which guarantees do not fit
    Guards against a dry run that writes, or that reports only the first of two shapes
    that do not fit.
    When an operator tries a change of every kind in a dry run
    Then the dry run says add, replace, remove and keep
    And the configuration is unchanged
    When an operator tries two shapes that cannot fit in a dry run
    Then the dry run names both

  Scenario: Guarantees that no longer fit do not block other changes
    Workers were removed, so a guaranteed shape no longer fits. If every change were
    refused then, operators could neither reduce the guarantee nor change anything else.
    Given the workers of a failure domain are gone from the VM list
    Then an operator can add an organisation and shrink the guaranteed shape
    But cannot guarantee more there
