@0xd3f1a0c2b7e64915;

# Where generated Rust code lives in its crate; the number is fixed by the generator.
annotation parentModule @0xabee386cd1450364 (file) :Text;
