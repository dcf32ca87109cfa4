Feature: Knowledge of caches equals a plain model under faults
  Scenario: The compact block set equals a plain set
    Then the block set equals a plain set after any additions and removals

  Scenario: The index of an engine never believes what a plain model of its runs does not hold
    Then the engine index equals the model at its sequence after any gaps, reorders, duplicates and runs

  Scenario: A view equals the sampled index once its digests have arrived
    Then the cache view equals the sampled index after any losses, reorders, duplicates and runs

  Scenario: Bisection finds the depth of a chain that a scan finds
    Then leading depths by bisection equal those by scanning for any engines and sample
