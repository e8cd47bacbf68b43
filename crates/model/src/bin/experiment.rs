//! Runs load patterns over several seeds and prints a table of results.

use clap::{Arg, ArgAction, Command, value_parser};
use ebonytack_model::{ClassOutcome, Details, Outcome, Pattern, Policy, run};
use eyre::{Result, eyre};

fn main() -> Result<()> {
    let matches = Command::new("experiment")
        .about("Simulates a fleet under load patterns and prints a table of results")
        .arg(Arg::new("pattern").help("Name of the pattern to run [default: all patterns]"))
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .help("Number of seeds to run, counted from 1")
                .default_value("5")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            Arg::new("product-only")
                .long("product-only")
                .help("Run no baseline policies")
                .action(ArgAction::SetTrue),
        )
        .get_matches();
    let policies: &[Policy] = match matches.get_flag("product-only") {
        true => &[Policy::Product],
        false => &[Policy::Product, Policy::LeastInFlight, Policy::RoundRobin],
    };
    let seeds = matches.get_one::<u64>("seeds").copied().unwrap_or(1);
    let selected = matches.get_one::<String>("pattern");
    let patterns: Vec<Pattern> = Pattern::all()
        .into_iter()
        .filter(|pattern| selected.is_none_or(|name| name == pattern.name))
        .collect();
    if patterns.is_empty() {
        let names: Vec<&str> = Pattern::all().iter().map(|pattern| pattern.name).collect();
        return Err(eyre!("unknown pattern; known patterns: {}", names.join(", ")));
    }
    println!(
        "{:<14}{:<17}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}{:>7}{:>9}{:>7}{:>8}",
        "pattern",
        "policy",
        "served",
        "credit",
        "late",
        "refused",
        "failed",
        "worst",
        "repeats",
        "hot max",
        "hot",
        "busiest",
        "used",
        "unused"
    );
    for pattern in patterns {
        for policy in policies.iter().copied() {
            let outcomes: Vec<Outcome> =
                (1..=seeds).map(|seed| run(&pattern, policy, seed)).collect();
            print_row(&pattern, policy, &outcomes);
            if pattern.details == Details::Classes {
                print_classes(&pattern, &outcomes);
            }
        }
    }
    Ok(())
}

fn print_row(pattern: &Pattern, policy: Policy, outcomes: &[Outcome]) {
    let count = outcomes.len() as f64;
    let mean = |value: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>() / count;
    let share = |value: &dyn Fn(&Outcome) -> u32| {
        mean(&|outcome| f64::from(value(outcome)) / f64::from(outcome.asked.max(1)))
    };
    let max = |value: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(value).fold(0.0, f64::max);
    let worst = outcomes.iter().map(Outcome::credit_share).fold(1.0, f64::min);
    print!(
        "{:<14}{:<17}{:>8.4}{:>8.4}{:>8.4}{:>8.4}{:>8.4}{:>8.4}{:>9.3}{:>9.3}{:>7.3}",
        pattern.name,
        policy.name(),
        mean(&Outcome::served_share),
        mean(&Outcome::credit_share),
        share(&|outcome| outcome.late),
        share(&|outcome| outcome.refused),
        share(&|outcome| outcome.failed),
        worst,
        max(&|outcome| outcome.repeats_of_allowed),
        max(&|outcome| outcome.hot_of_allowed),
        mean(&|outcome| outcome.hot_of_rate),
    );
    if pattern.details == Details::Usage {
        let min = |value: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(value).fold(1.0, f64::min);
        print!(
            "{:>9.3}{:>7.3}{:>8.2}",
            max(&|outcome| outcome.busiest_of_mean),
            min(&|outcome| outcome.used_share_min),
            max(&|outcome| outcome.unused_max_s),
        );
    }
    println!();
}

/// Prints a row for each class, and one for the load of the instances during the disturbance.
fn print_classes(pattern: &Pattern, outcomes: &[Outcome]) {
    let count = outcomes.len() as f64;
    let mean = |value: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>() / count;
    for (index, class) in pattern.classes.iter().enumerate() {
        let late = class.late_worth / class.worth;
        let served = mean(&|outcome| outcome.classes[index].served_share());
        let earned = mean(&|outcome| outcome.classes[index].earned_share(late));
        let sum = |value: &dyn Fn(&ClassOutcome) -> u32| {
            outcomes.iter().map(|outcome| f64::from(value(&outcome.classes[index]))).sum::<f64>()
        };
        let impatient = sum(&|c| c.impatient_served) / sum(&|c| c.impatient).max(1.0);
        println!(
            "    {:<14} priority {} served {served:.4} earned {earned:.4} impatient {impatient:.4}",
            class.name, class.priority,
        );
    }
    let total = outcomes.iter().map(|outcome| {
        let earned = pattern.classes.iter().zip(&outcome.classes).map(|(class, of_class)| {
            class.worth * f64::from(of_class.in_target)
                + class.late_worth * f64::from(of_class.late)
        });
        let worth = pattern.classes.iter().zip(&outcome.classes);
        let worth: f64 = worth.map(|(class, of)| class.worth * f64::from(of.asked)).sum();
        earned.sum::<f64>() / worth.max(1.0)
    });
    println!(
        "    all earned {:.4}, busy {:.4}, load {:.3} deviation {:.3}",
        total.sum::<f64>() / count,
        mean(&|outcome| outcome.busy_share),
        mean(&|outcome| outcome.load_mean),
        mean(&|outcome| outcome.load_deviation),
    );
}
