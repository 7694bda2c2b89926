Feature: A fleet that agrees
  Bundles, members and ejections while VMs, links and the log fail.

  Scenario: A bundle is in force everywhere though half of the VMs cannot reach the log
    Given a fleet of 12 VMs with a bundle in force
    When every second VM loses the log
    And an operator publishes a bundle
    And 1 second passes
    Then the new bundle is in force on every VM

  Scenario: A VM starts while the log is down
    Given a fleet of 4 VMs with a bundle in force
    When every VM loses the log
    And a VM starts with nothing
    And 2 seconds pass
    Then the new bundle is in force on every VM

  Scenario: A VM that missed a bundle comes back and nobody goes back with it
    Given a fleet of 6 VMs with a bundle in force
    When VM 1 is cut off from everything
    And an operator publishes a bundle
    And 10 seconds pass
    Then VM 1 still has the old bundle
    When all links work again
    And 15 seconds pass
    Then the new bundle is in force on every VM

  Scenario: Two operators publish on the same base
    Given a fleet of 4 VMs with a bundle in force
    When two operators publish different bundles on the same base
    And 1 second passes
    Then the first of them is in force on every VM
    And the loser is told which bundle won

  Scenario: A link works in one direction only
    Given a fleet of 8 VMs with a bundle in force
    When VM 1 no longer hears the first VM that it calls
    And 30 seconds pass
    Then no VM but VM 1 holds another for lost

  Scenario: The fleet is split in two and the log is down, then both heal
    Given a fleet of 10 VMs with a bundle in force
    When every VM loses the log
    And the fleet is split in two
    And 60 seconds pass
    And all links work again
    And an operator publishes a bundle
    And 20 seconds pass
    Then the new bundle is in force on every VM
    And every VM holds every other for alive
