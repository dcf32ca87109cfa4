Feature: Cache events applied by an engine's index

  Guards against an index that holds blocks that the engine no longer has, after lost, repeated,
  reordered or outdated event batches.

  # Arrivals: run, batch number, optional weight version, then blocks stored (+), removed (-) or all
  # cleared (*). "dump" has all blocks at a batch number. "wait" lets seconds pass. "run" announces a run.
  Scenario Outline: Blocks of the index after <fault>
    Given an index that has received "<arrivals>"
    Then the index holds exactly the blocks "<blocks>"
    And the index needs "<need>"

    Examples:
      | fault                                | arrivals                             | blocks | need    |
      | batches in order                     | r1#1+ab r1#2-a r1#3+c                | bc     | nothing |
      | a repeated batch                     | r1#1+ab r1#2-a r1#1+ab               | b      | nothing |
      | a batch overtaken by the next        | r1#1+a r1#3-b r1#2+bc                | ac     | nothing |
      | a lost batch                         | r1#1+ab r1#3-a                       | ab     | replay  |
      | a lost batch replayed                | r1#1+ab r1#3-a r1#2+c                | bc     | nothing |
      | a lost batch never replayed          | r1#1+ab r1#3-a wait2                 |        | dump    |
      | one of two gaps filled               | r1#1+ab r1#3-a r1#5-b r1#2+c         | bc     | replay  |
      | one of two gaps filled, other stays  | r1#1+ab r1#3-a r1#5-b wait1 r1#2+c wait1 |    | dump    |
      | joining in the middle of a run       | r1#7+ab                              |        | dump    |
      | all blocks cleared                   | r1#1+ab r1#2*                        |        | nothing |
      | a batch of an earlier run            | r2#1+a r1#2+b                        | a      | nothing |
      | an engine that restarted empty       | r1#1+ab r2#1+c                       | c      | nothing |
      | a new run joined late                | r1#1+ab r2#3+c                       |        | dump    |
      | a new run's first batches swapped    | r1#1+ab r2#2-c r2#1+cd               | d      | nothing |
      | another weight version               | r1#1+ab r1#2v2+c                     | c      | nothing |
      | another weight version after a loss  | r1#1+ab r1#3v2+c                     |        | replay  |
      | a dump                               | r1#1+ab r1dump4=cd                   | cd     | nothing |
      | a dump older than the events         | r1#1+ab r1#2-a r1dump1=ab            | b      | nothing |
      | a dump of an earlier run             | r2#1+a r1dump9=bc                    | a      | nothing |
      | a dump of a later run                | r1#1+ab r2dump9=c                    | c      | nothing |
      | a late batch that the dump includes  | r1dump4=cd r1#3-c r1#4+a             | cd     | nothing |
      | events after the dump, kept for it   | r1#6+e r1#5-c r1dump4=cd             | de     | nothing |
      | a gap after the dump, kept for it    | r1#6+e r1dump4=cd wait2              |        | dump    |
      | an old dump after the state was lost | r1#1+a r1#2+b r1#4+c wait2 r1dump1=z |        | dump    |
      | announcement of a later run          | r1#1+ab run2                         |        | dump    |
      | announcement of an earlier run       | r2#1+ab run1                         | ab     | nothing |
