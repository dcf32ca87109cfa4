Feature: Indexes and views of caches equal a plain model under faults

  Guards against blocks that an index or a view holds although the engine does not, or lacks although
  all messages arrived, for any sequence of lost, repeated, late and reordered messages.

  Scenario: The compact block set equals a plain set
    Then the block set equals a plain set after any additions and removals

  Scenario: An engine's index never holds a block that a plain model of the engine's runs does not hold
    Then the engine index equals the model at its sequence after any gaps, reorders, duplicates and runs

  Scenario: A view equals the sampled index once its digests have arrived
    Then the cache view equals the sampled index after any losses, reorders, duplicates and runs

  Scenario: Bisection finds the same depth of a chain as a scan
    Then leading depths by bisection equal those by scanning for any engines and sample
